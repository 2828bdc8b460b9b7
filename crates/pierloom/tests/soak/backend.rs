//! Stand-in backends of the soak test.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that arrived at a backend.
pub struct ArrivedRequest {
    /// The id of the request.
    pub id: String,
    /// When its line had arrived.
    pub at: Instant,
}

/// A stand-in backend.
pub struct Backend {
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Whether the backend accepts requests and answers none.
    pub hangs: AtomicBool,
    /// Whether the backend closes each connection after its request.
    pub closes: AtomicBool,
    /// The requests that arrived.
    pub requests: Mutex<Vec<ArrivedRequest>>,
}

impl Backend {
    /// Starts a backend that answers each request with `UP`, and each line after it with the line `m`.
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let backend = Arc::new(Backend {
            address: listener.local_addr().unwrap(),
            hangs: AtomicBool::new(false),
            closes: AtomicBool::new(false),
            requests: Mutex::default(),
        });
        let shared = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = shared.clone();
                thread::spawn(move || backend.serve(&stream));
            }
        });
        backend
    }

    /// The number of requests that arrived after that time.
    pub fn requests_after(&self, time: Instant) -> usize {
        self.requests.lock().unwrap().iter().filter(|request| request.at > time).count()
    }

    fn serve(&self, stream: &TcpStream) {
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        let Some(request) = lines.next() else { return };
        let arrived_at = Instant::now();
        let id = request.split(' ').nth(1).unwrap_or_default().to_string();
        self.requests.lock().unwrap().push(ArrivedRequest { id, at: arrived_at });
        if self.closes.load(Ordering::Relaxed) {
            return;
        }
        let mut answer = "UP r\r\n";
        loop {
            while self.hangs.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(5));
            }
            let mut writer = stream;
            if writer.write_all(answer.as_bytes()).is_err() || lines.next().is_none() {
                return;
            }
            answer = "m\r\n";
        }
    }
}
