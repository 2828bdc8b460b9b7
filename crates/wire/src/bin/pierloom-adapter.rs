#![forbid(unsafe_code)]
//! Hosts instances of the decision module on the bench's line protocol. Instances share nothing
//! but the immutable lists.

use pierloom_decision::{Action, Balancer, Event, Member};
use pierloom_wire::{self as wire, Line, NameIndex, ParseError};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;

struct Instance {
    balancer: Balancer,
    names: NameIndex,
}

/// An immutable list, and its members as parsed for settings that name zones alike.
#[derive(Clone, Default)]
struct Page {
    lines: Rc<Vec<String>>,
    parsed: Option<(NameIndex, Arc<[Member]>)>,
}

#[derive(Default)]
struct InstanceHost {
    now: u64,
    current: Option<u64>,
    instances: BTreeMap<u64, Instance>,
    pages: BTreeMap<usize, Page>,
    filling: Option<(usize, usize, Vec<String>)>,
    replies: BTreeMap<u64, Vec<Action>>,
    in_batch: bool,
}

impl Page {
    fn members(&mut self, names: &NameIndex) -> Result<Arc<[Member]>, ParseError> {
        if let Some((_, members)) = self.parsed.as_ref().filter(|(known, _)| known == names) {
            return Ok(members.clone());
        }
        let members = wire::parse_members(&self.lines, names)?;
        self.parsed = Some((names.clone(), members.clone()));
        Ok(members)
    }
}

impl InstanceHost {
    fn current_instance(&self, message: &str) -> Result<u64, ParseError> {
        self.current.ok_or_else(|| format!("{message}: no CONTEXT before it"))
    }

    fn deliver(&mut self, message: &str, event: Event) -> Result<(), ParseError> {
        let relay = self.current_instance(message)?;
        let instance = self.instances.get_mut(&relay);
        let instance = instance.ok_or_else(|| format!("{message}: relay {relay} has no INIT"))?;
        instance.balancer.handle(self.now, event, self.replies.entry(relay).or_default());
        Ok(())
    }

    /// Takes one line; true when a reply is due.
    fn take(&mut self, text: &str) -> Result<bool, ParseError> {
        let line = wire::parse_line(text)?;
        if let Some((list, wanted, mut lines)) = self.filling.take() {
            let Line::Entry(entry) = line else {
                return Err(format!("PAGE: list {list} has fewer than {wanted} items"));
            };
            lines.push(entry);
            if lines.len() < wanted {
                self.filling = Some((list, wanted, lines));
            } else {
                self.pages.insert(list, Page { lines: Rc::new(lines), parsed: None });
            }
            return Ok(false);
        }
        if !self.in_batch && !matches!(line, Line::Mark(_)) {
            return Err(format!("{text:.40}: no MARK before it"));
        }
        match line {
            Line::Mark(now) => {
                (self.now, self.current, self.in_batch) = (now, None, true);
            }
            Line::EndOfBatch => {
                self.in_batch = false;
                return Ok(true);
            }
            Line::Context(relay) => self.current = Some(relay),
            Line::Init(seed, json) => {
                let relay = self.current_instance("INIT")?;
                let (settings, names) = wire::parse_settings(&json)?;
                let balancer = Balancer::new(settings, seed).map_err(|e| format!("INIT {e}"))?;
                self.replies.remove(&relay);
                self.instances.insert(relay, Instance { balancer, names });
            }
            Line::Page(list, 0) => {
                self.pages.insert(list, Page::default());
            }
            Line::Page(list, wanted) => self.filling = Some((list, wanted, Vec::new())),
            Line::Entry(_) => return Err("M: no PAGE before it".to_string()),
            Line::Roster(kind, page) => {
                let relay = self.current_instance("ROSTER_CHANGE")?;
                let names = self.instances.get(&relay).map(|i| &i.names);
                let names = names.ok_or("ROSTER_CHANGE: no INIT before it")?;
                let members = match page {
                    None => Arc::default(),
                    Some(page) => match self.pages.get_mut(&page) {
                        Some(page) => page.members(names)?,
                        None => return Err(format!("ROSTER_CHANGE: field list: unknown {page}")),
                    },
                };
                self.deliver("ROSTER_CHANGE", Event::Members { kind, members })?;
            }
            Line::Shutdown => {
                let relay = self.current_instance("SHUTDOWN")?;
                self.instances.remove(&relay);
                self.replies.remove(&relay);
            }
            Line::Event(text) => {
                let relay = self.current_instance(&text)?;
                let name = text.split(' ').next().unwrap_or("");
                let names = self.instances.get(&relay).map(|i| &i.names);
                let names = names.ok_or_else(|| format!("{name}: relay {relay} has no INIT"))?;
                if let Some(event) = wire::parse_event(&text, names)? {
                    self.deliver(name, event)?;
                }
            }
        }
        Ok(false)
    }

    fn reply(&mut self) -> String {
        let mut out = String::new();
        for (relay, actions) in std::mem::take(&mut self.replies) {
            if !actions.is_empty() {
                out.push_str(&format!("BY {relay}\n"));
                actions.iter().for_each(|action| wire::write_action(action, &mut out));
            }
        }
        out.push_str("EOR\n");
        out
    }
}

fn run() -> Result<(), ParseError> {
    let mut host = InstanceHost::default();
    let mut out = std::io::stdout().lock();
    let mut input = std::io::stdin().lock();
    let mut text = String::new();
    loop {
        text.clear();
        let read = input.read_line(&mut text).map_err(|e| format!("standard input: {e}"))?;
        if read == 0 {
            return if host.in_batch { Err("input ends within a batch".into()) } else { Ok(()) };
        }
        if host.take(text.trim_end_matches(['\n', '\r']))? {
            let reply = host.reply();
            let sent = out.write_all(reply.as_bytes()).and_then(|()| out.flush());
            sent.map_err(|e| format!("standard output: {e}"))?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("pierloom-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}
