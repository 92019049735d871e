//! Inputs and outputs of nodes: passes an input to a node's state machine and carries out the resulting outputs.

use glenfall_control_plane::chain::{Chain, Output};
use glenfall_control_plane::Millis;

use super::World;
use crate::cluster::machine_number;
use crate::machine::Machine;

impl World {
    /// Passes an input to a node's state machine and carries out its outputs. Does nothing while no process runs.
    pub fn with_chain(&mut self, number: u8, input: impl FnOnce(&mut Chain, Millis) -> Vec<Output>) {
        let now = self.now;
        if let Some(chain) = &mut self.machine(number).chain {
            let outputs = input(chain, now);
            self.carry_out(number, outputs);
        }
    }

    fn carry_out(&mut self, number: u8, outputs: Vec<Output>) {
        let now = self.now;
        for output in outputs {
            match output {
                Output::Send(to, message) => self.network.send(now, number, machine_number(to), message),
                Output::Persist(write, state) => {
                    let Machine { disk, rng, .. } = self.machine(number);
                    disk.write(now, write, state, rng);
                }
                Output::Answer(call, outcome) => self.check_answer(number, call, outcome),
                Output::Publish(record) => self.check_published(number, &record),
            }
        }
    }
}
