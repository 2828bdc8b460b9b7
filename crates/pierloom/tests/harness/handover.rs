//! Handovers between two processes of the program.

use super::EVENT_TIMEOUT;
use std::cell::OnceCell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// The test's end of a handover between two processes. A wait that takes longer than `EVENT_TIMEOUT` fails.
pub struct HandoverPeer {
    stream: UnixStream,
    messages: BufReader<UnixStream>,
}

impl HandoverPeer {
    fn new(stream: UnixStream) -> Self {
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        stream.set_write_timeout(Some(EVENT_TIMEOUT)).unwrap();
        let messages = BufReader::new(stream.try_clone().unwrap());
        HandoverPeer { stream, messages }
    }

    /// Connects to the process that hands over at `path`, as its successor.
    pub fn connect(path: &Path) -> std::io::Result<Self> {
        UnixStream::connect(path).map(HandoverPeer::new)
    }

    /// Accepts the process that takes over from the test.
    pub fn accept(listener: &UnixListener) -> Self {
        socket2::SockRef::from(listener).set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        HandoverPeer::new(listener.accept().expect("a process that takes over").0)
    }

    /// The underlying stream.
    pub fn stream(&self) -> &UnixStream {
        &self.stream
    }

    /// Sends `text`, unchanged.
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Reads the next message. Fails once the other process has closed.
    pub fn message(&mut self) -> String {
        let mut message = String::new();
        assert!(self.messages.read_line(&mut message).unwrap() > 0, "the other process closed the handover");
        message
    }
}

impl HandoverPeer {
    /// Reads the next message that does not contain `skipped`.
    pub fn message_after(&mut self, skipped: &str) -> String {
        std::iter::repeat_with(|| self.message()).find(|message| !message.contains(skipped)).unwrap()
    }

    /// Reads all messages until the other process closes.
    pub fn remaining_messages(&mut self) -> String {
        let mut messages = String::new();
        self.messages.read_to_string(&mut messages).unwrap();
        messages
    }
}

/// A folder shared by proxy processes that upgrade each other.
pub struct Folder {
    /// Path of the folder.
    pub path: PathBuf,
    /// Address of the discovery service that these processes share: that of the one that started first.
    pub discovery: OnceCell<SocketAddr>,
}

impl Folder {
    /// Creates the folder. It is removed when the value is dropped.
    pub fn new(name: &str) -> Self {
        // The path is short because the length of a Unix socket path is limited.
        let path = std::env::temp_dir().join(format!("pierloom-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder { path, discovery: OnceCell::new() }
    }

    /// Path of a file in the folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
