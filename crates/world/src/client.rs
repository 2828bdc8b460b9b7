//! Submitters and the front that deals them out: usual ones, which send a line every two seconds and come back
//! after a break or a MOVE, and bad ones.

use crate::lines::{Lines, within, write};
use crate::rng::Rng;
use crate::script::{ClientSpec, Misbehavior};
use pierloom_host::{Host, Micros};
use rand::Rng as _;
use rand::seq::IndexedRandom;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// A usual submitter sends a line this often; microseconds.
const LINE: Micros = 2_000_000;
/// After a break it comes again within these; microseconds.
const REJOIN: std::ops::Range<Micros> = 83_000..1_300_000;
/// After a MOVE; microseconds.
const MOVED: std::ops::Range<Micros> = 20_000..200_000;
/// After a refusal or a failure; microseconds.
const BACK_OFF: std::ops::Range<Micros> = 40_000..320_000;
/// After all its tries failed; microseconds.
const LATER: std::ops::Range<Micros> = 1_000_000..2_500_000;
/// What it leaves unread at its end is waited for this long; microseconds.
const GOODBYE: Micros = 1_000_000;
/// Bytes of the largest value that a bad one sends.
const HUGE: usize = 128 << 10;

/// The front: which proxies take submitters, as far as it knows.
#[derive(Default)]
pub struct ProxySelector {
    /// Zone, address, and whether it is taken in.
    pub proxies: RefCell<Vec<(usize, SocketAddr, bool)>>,
}

impl ProxySelector {
    fn pick(&self, zone: usize, rng: &mut Rng) -> Option<SocketAddr> {
        let proxies = self.proxies.borrow();
        let there: Vec<_> = proxies.iter().filter(|proxy| proxy.2).collect();
        let near: Vec<_> = there.iter().copied().filter(|proxy| proxy.0 == zone).collect();
        let choice = if near.is_empty() { &there } else { &near };
        choice.choose(rng).map(|proxy| proxy.1)
    }
}

/// What came of a submitter.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Outcome {
    /// Its final answers, a letter each: U up, B busy, E failed, - none.
    pub answers: String,
    /// How often it was moved and cut off.
    pub moved: u32,
    /// Cut off.
    pub cut: u32,
    /// Time in which it wanted its connection; microseconds.
    pub wanted: Micros,
    /// Time in which it stood; microseconds.
    pub stood: Micros,
    /// Lines sent and answered, and answered in time.
    pub lines: u32,
    /// Lines answered.
    pub answered: u32,
    /// Lines answered within the aim.
    pub in_time: u32,
}

/// One submitter.
pub struct Client {
    /// What it is.
    pub spec: ClientSpec,
    /// Its place in the script, which makes its ids.
    pub index: usize,
    /// Its machine.
    pub host: Host,
    /// The front.
    pub proxy_selector: Rc<ProxySelector>,
    /// Its own draws.
    pub rng: RefCell<Rng>,
    /// How long it waits for an answer; milliseconds.
    pub deadline_ms: u64,
    /// A message is wanted within this; microseconds.
    pub aim: Micros,
    /// What came of it.
    pub outcome: RefCell<Outcome>,
    /// Number of its tries.
    pub tries: Cell<u32>,
}

/// How a try ended.
enum End {
    /// Its life is over.
    Done,
    /// Sent away politely.
    Moved,
    /// The connection broke or ended.
    Broke,
    /// Refused, with a time to stay away where one was told.
    Busy(Option<Micros>),
    /// Failed, or no answer.
    Failed,
}

impl Client {
    fn draw(&self, range: std::ops::Range<Micros>) -> Micros {
        self.rng.borrow_mut().random_range(range)
    }

    /// Lives its life.
    pub async fn live(self: Rc<Self>) {
        if let Some(bad) = self.spec.bad {
            return self.misbehave(bad).await;
        }
        let begin = self.host.now();
        let until = begin + self.spec.life_ms * 1_000;
        let (mut again, mut retry, mut left) = (false, false, self.spec.retries);
        while self.host.now() < until {
            let end = self.attempt(until, again, retry).await;
            retry = false;
            let pause = match end {
                End::Done => break,
                End::Moved => {
                    again = true;
                    self.outcome.borrow_mut().moved += 1;
                    self.draw(MOVED)
                }
                End::Broke => {
                    again = true;
                    self.outcome.borrow_mut().cut += 1;
                    self.draw(REJOIN)
                }
                End::Busy(_) | End::Failed if left > 0 => {
                    (left, retry) = (left - 1, true);
                    match end {
                        End::Busy(Some(wait)) => wait.min(2_000_000),
                        _ => self.draw(BACK_OFF),
                    }
                }
                _ => {
                    left = self.spec.retries;
                    self.draw(LATER)
                }
            };
            self.host.sleep_until(self.host.now() + pause).await;
        }
        self.outcome.borrow_mut().wanted = self.host.now().min(until) - begin;
    }

    async fn attempt(&self, until: Micros, again: bool, retry: bool) -> End {
        let proxy = self.proxy_selector.pick(self.spec.zone, &mut self.rng.borrow_mut());
        let Some(proxy) = proxy else { return End::Failed };
        let wait = self.deadline_ms * 1_000;
        let connect = within(&self.host, self.host.now() + wait, self.host.connect(proxy)).await;
        let Some(Ok(stream)) = connect else { return End::Failed };
        let mut lines = Lines::new(stream);
        let tries = self.tries.replace(self.tries.get() + 1);
        let (id, key, group) = (format!("{:06x}{tries:02x}", self.index), self.spec.key, self.spec.group);
        let again = if again { ",again=1" } else { "" };
        let retry = if retry { ",r=1" } else { "" };
        let opening = format!(
            "OPEN {id} {key:016x} c=status-feed,d={},g={group:08x}{retry}{again}\r\n",
            self.deadline_ms
        );
        let stream = lines.stream.clone();
        if write(&stream, opening.as_bytes()).await.is_err() {
            return End::Failed;
        }
        let sent = self.host.now();
        let leaves = self.spec.leaves_ms.map(|ms| sent + ms * 1_000);
        let patience = leaves.unwrap_or(sent + wait).min(sent + wait);
        let answer = within(&self.host, patience, lines.next()).await;
        let word = |answer: &Option<Option<String>>| match answer {
            Some(Some(line)) if line.starts_with("UP ") => 'U',
            Some(Some(line)) if line.starts_with("BUSY") => 'B',
            Some(Some(_)) => 'E',
            _ => '-',
        };
        let answered = word(&answer);
        self.outcome.borrow_mut().answers.push(answered);
        match answered {
            'U' => {}
            'B' => {
                let line = answer.flatten().unwrap_or_default();
                let wait = line.split(' ').nth(1).and_then(|ms| ms.parse::<u64>().ok());
                return End::Busy(wait.map(|ms| ms * 1_000));
            }
            _ if leaves.is_some() => {
                if self.spec.resets {
                    stream.reset_on_close();
                }
                return End::Done;
            }
            _ => return End::Failed,
        }
        let up = self.host.now();
        let end = self.stand(&mut lines, until).await;
        self.outcome.borrow_mut().stood += self.host.now() - up;
        end
    }

    /// Its connection stands: a line every two seconds, until its life is over or the other side ends it.
    async fn stand(&self, lines: &mut Lines, until: Micros) -> End {
        let stream = lines.stream.clone();
        let mut next_line = self.host.now() + self.draw(0..LINE);
        let mut waiting = std::collections::VecDeque::new();
        let mut moved = false;
        let mut read_at = self.host.now();
        loop {
            let pause = self.spec.reads_ms.map_or(0, |ms| ms * 1_000);
            let read = async {
                if pause > 0 {
                    self.host.sleep_until(read_at).await;
                }
                lines.next().await
            };
            tokio::select! {
                biased;
                line = read => {
                    read_at = self.host.now() + pause;
                    match line.as_deref() {
                        None if moved => return End::Moved,
                        None => return End::Broke,
                        Some("MOVE") => moved = true,
                        Some(line) if line.starts_with("NEWS ") => {
                            let mut outcome = self.outcome.borrow_mut();
                            outcome.answered += 1;
                            if let Some(since) = waiting.pop_front() {
                                outcome.in_time += u32::from(self.host.now() - since <= self.aim);
                            }
                        }
                        Some(_) => {}
                    }
                }
                () = self.host.sleep_until(next_line.min(until)) => {
                    if self.host.now() >= until {
                        break;
                    }
                    next_line = self.host.now() + LINE;
                    waiting.push_back(self.host.now());
                    self.outcome.borrow_mut().lines += 1;
                    if write(&stream, b"SEEN\r\n").await.is_err() {
                        return if moved { End::Moved } else { End::Broke };
                    }
                }
            }
        }
        if self.spec.resets {
            stream.reset_on_close();
        } else if stream.finish().is_ok() {
            let rest = async { while lines.next().await.is_some() {} };
            within(&self.host, self.host.now() + GOODBYE, rest).await;
        }
        End::Done
    }

    /// Keeps no protocol, and reads what it is sent.
    async fn misbehave(&self, bad: Misbehavior) {
        let proxy = self.proxy_selector.pick(self.spec.zone, &mut self.rng.borrow_mut());
        let Some(proxy) = proxy else { return };
        let Ok(stream) = self.host.connect(proxy).await else { return };
        let mut lines = Lines::new(stream);
        let stream = lines.stream.clone();
        let bytes: Vec<u8> = match bad {
            Misbehavior::Silent => Vec::new(),
            Misbehavior::Garbage => (0..400).map(|_| self.rng.borrow_mut().random()).collect(),
            Misbehavior::NoEnd => vec![b'a'; 6_000],
            Misbehavior::WrongClass => b"OPEN ba0 k c=nothing,d=4800\r\n".to_vec(),
            Misbehavior::WrongDeadline => b"OPEN ba1 k c=status-feed,d=soon\r\n".to_vec(),
            Misbehavior::NoId => b"OPEN  c=status-feed,d=4800\r\n".to_vec(),
            Misbehavior::Half => b"OPEN ba2 k c=sta".to_vec(),
            Misbehavior::Commands => b"OPEN ba3 k c=status-feed,d=4800\r\n".repeat(300),
            Misbehavior::Huge => {
                let mut line = b"OPEN ba4 k c=status-feed,d=4800,g=".to_vec();
                line.resize(HUGE, b'9');
                line
            }
        };
        // Whether it is let write everything is the proxy's choice.
        let say = async {
            if write(&stream, &bytes).await.is_ok() && bad == Misbehavior::Half {
                let _ = stream.finish();
            }
            std::future::pending::<()>().await;
        };
        let hear = async { while lines.next().await.is_some() {} };
        tokio::select! {
            biased;
            () = hear => {}
            () = say => {}
        }
    }
}
