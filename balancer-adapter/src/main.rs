//! Runs many balancers behind one line-based text protocol on standard input and output. The adapter translates
//! between lines and the balancers' events and actions; it makes no decisions of its own.

mod actions;
mod error;
mod input;
mod messages;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use glenfall_balancer::{Balancer, Event, Seconds, Settings};
use glenfall_balancer_settings::Names;

use error::AdapterError;
use input::Lines;
use messages::Message;

/// The line that ends a batch.
const END_OF_BATCH: &str = "go";

/// An error with the number of the input line at which it was found.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {error}")]
struct LineError {
    line: u64,
    error: AdapterError,
}

/// One attached node.
struct Instance {
    balancer: Balancer,
    names: Names,
}

/// All attached nodes, by number.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
}

impl Host {
    /// Handles the messages of one batch, each of which names its node, and returns the reply.
    fn handle_batch(
        &mut self,
        now: Seconds,
        lines: &mut Lines<impl BufRead>,
    ) -> Result<String, AdapterError> {
        let mut reply = String::new();
        loop {
            let line = lines.next()?.ok_or(AdapterError::UnfinishedBatch)?;
            if line == END_OF_BATCH {
                reply.push_str("ack\n");
                return Ok(reply);
            }
            let names = |node| self.instances.get(&node).map(|instance| &instance.names);
            match messages::parse(&line, lines, names)? {
                Message::Attach { node, seed, settings } => self.attach(node, seed, settings)?,
                Message::Detach { node } => {
                    self.instances.remove(&node);
                }
                Message::Event { node, event } => self.handle_event(now, node, event, &mut reply)?,
            }
        }
    }

    fn attach(&mut self, node: u64, seed: u64, settings: Settings) -> Result<(), AdapterError> {
        let names = Names::of(&settings);
        let balancer = Balancer::new(settings, seed)?;
        self.instances.insert(node, Instance { balancer, names });
        Ok(())
    }

    fn handle_event(
        &mut self,
        now: Seconds,
        node: u64,
        event: Event,
        reply: &mut String,
    ) -> Result<(), AdapterError> {
        let instance = self.instances.get_mut(&node).ok_or(AdapterError::UnknownNode(node))?;
        let mut actions = Vec::new();
        instance.balancer.handle(now, event, &mut actions);
        for action in &actions {
            actions::write_action(node, action, reply);
        }
        Ok(())
    }
}

/// Handles batches and writes their replies until the input ends.
fn serve(lines: &mut Lines<impl BufRead>, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    while let Some(line) = lines.next()? {
        let now = messages::parse_sync(&line)?;
        let reply = host.handle_batch(now, lines)?;
        output.write_all(reply.as_bytes())?;
        output.flush()?;
    }
    Ok(())
}

fn run() -> Result<(), LineError> {
    let mut lines = Lines::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    serve(&mut lines, &mut output).map_err(|error| LineError { line: lines.number(), error })
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("glenfall-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
