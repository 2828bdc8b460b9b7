#![forbid(unsafe_code)]
//! Hosts instances of the decision module and speaks the bench's line protocol on standard input and output.
//! Each instance stands for one proxy. Instances share nothing but the immutable endpoint lists. Malformed
//! input ends the process with one line on standard error.

use pierloom_decision::{Action, Balancer, Event, Member};
use pierloom_wire::{self as wire, Line, NameIndex, ParseError};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;

/// One instance of the decision module.
struct Instance {
    balancer: Balancer,
    names: NameIndex,
}

/// An immutable endpoint list that a message `PAGE` defined.
#[derive(Clone, Default)]
struct EndpointList {
    /// Its entries as received.
    lines: Rc<Vec<String>>,
    /// Its members, parsed for the instances whose settings have these names.
    parsed: Option<(NameIndex, Arc<[Member]>)>,
}

/// All instances and the state of the protocol.
#[derive(Default)]
struct InstanceHost {
    /// Time of the current batch.
    now: u64,
    /// Instance that the last `CONTEXT` of the batch selected.
    current: Option<u64>,
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<usize, EndpointList>,
    /// The `PAGE` being read: its number, its expected number of entries and the entries so far.
    incomplete_list: Option<(usize, usize, Vec<String>)>,
    /// Actions of the current batch by instance.
    actions: BTreeMap<u64, Vec<Action>>,
    in_batch: bool,
}

impl EndpointList {
    /// The members of the list for settings with these names.
    fn members(&mut self, names: &NameIndex) -> Result<Arc<[Member]>, ParseError> {
        if let Some((_, members)) = self.parsed.as_ref().filter(|(cached_names, _)| cached_names == names) {
            return Ok(members.clone());
        }
        let members = wire::parse_members(&self.lines, names)?;
        self.parsed = Some((names.clone(), members.clone()));
        Ok(members)
    }
}

impl InstanceHost {
    /// Returns the id of the instance that the last `CONTEXT` selected. Without one, the error text
    /// begins with `context`.
    fn current_instance(&self, context: &str) -> Result<u64, ParseError> {
        self.current.ok_or_else(|| format!("{context}: no CONTEXT before it"))
    }

    /// Delivers an event to the current instance.
    fn deliver(&mut self, message: &str, event: Event) -> Result<(), ParseError> {
        let instance_id = self.current_instance(message)?;
        let instance = self.instances.get_mut(&instance_id);
        let instance = instance.ok_or_else(|| format!("{message}: relay {instance_id} has no INIT"))?;
        instance.balancer.handle(self.now, event, self.actions.entry(instance_id).or_default());
        Ok(())
    }

    /// Handles one line; true at the end of a batch, when a reply is due.
    fn handle_line(&mut self, text: &str) -> Result<bool, ParseError> {
        let line = wire::parse_line(text)?;
        if let Some((list, expected, mut lines)) = self.incomplete_list.take() {
            let Line::ListEntry(entry) = line else {
                return Err(format!("PAGE: list {list} has fewer than {expected} items"));
            };
            lines.push(entry);
            if lines.len() < expected {
                self.incomplete_list = Some((list, expected, lines));
            } else {
                self.lists.insert(list, EndpointList { lines: Rc::new(lines), parsed: None });
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
            Line::Context(instance_id) => self.current = Some(instance_id),
            Line::Init(seed, json) => {
                let instance_id = self.current_instance("INIT")?;
                let (settings, names) = wire::parse_settings(&json)?;
                let balancer = Balancer::new(settings, seed).map_err(|e| format!("INIT {e}"))?;
                self.actions.remove(&instance_id);
                self.instances.insert(instance_id, Instance { balancer, names });
            }
            Line::ListStart(list, 0) => {
                self.lists.insert(list, EndpointList::default());
            }
            Line::ListStart(list, expected) => self.incomplete_list = Some((list, expected, Vec::new())),
            Line::ListEntry(_) => return Err("M: no PAGE before it".to_string()),
            Line::ListChange(kind, list_number) => {
                let instance_id = self.current_instance("ROSTER_CHANGE")?;
                let names = self.instances.get(&instance_id).map(|i| &i.names);
                let names = names.ok_or("ROSTER_CHANGE: no INIT before it")?;
                let members = match list_number {
                    None => Arc::default(),
                    Some(number) => match self.lists.get_mut(&number) {
                        Some(endpoint_list) => endpoint_list.members(names)?,
                        None => return Err(format!("ROSTER_CHANGE: field list: unknown {number}")),
                    },
                };
                self.deliver("ROSTER_CHANGE", Event::Members { kind, members })?;
            }
            Line::Shutdown => {
                let instance_id = self.current_instance("SHUTDOWN")?;
                self.instances.remove(&instance_id);
                self.actions.remove(&instance_id);
            }
            Line::Event(text) => {
                let instance_id = self.current_instance(&text)?;
                let name = text.split(' ').next().unwrap_or("");
                let names = self.instances.get(&instance_id).map(|i| &i.names);
                let names = names.ok_or_else(|| format!("{name}: relay {instance_id} has no INIT"))?;
                if let Some(event) = wire::parse_event(&text, names)? {
                    self.deliver(name, event)?;
                }
            }
        }
        Ok(false)
    }

    /// The reply to a batch: the actions of each instance that has any.
    fn reply(&mut self) -> String {
        let mut out = String::new();
        for (instance_id, actions) in std::mem::take(&mut self.actions) {
            if !actions.is_empty() {
                out.push_str(&format!("BY {instance_id}\n"));
                actions.iter().for_each(|action| wire::write_action(action, &mut out));
            }
        }
        out.push_str("EOR\n");
        out
    }
}

/// Serves batches until the input ends.
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
        if host.handle_line(text.trim_end_matches(['\n', '\r']))? {
            let reply = host.reply();
            let sent = out.write_all(reply.as_bytes()).and_then(|()| out.flush());
            sent.map_err(|e| format!("standard output: {e}"))?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pierloom-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
