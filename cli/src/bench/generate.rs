//! Generates fleets and their record histories with the product's own planner and checks.

use std::net::SocketAddr;

use spokelift_lib::state::account::Scope;
use spokelift_lib::state::config::Document;
use spokelift_lib::state::config::Shapes;
use spokelift_lib::state::fleet::Fleet;
use spokelift_lib::state::fleet::Shape;
use spokelift_lib::state::id::PlanId;
use spokelift_lib::state::plan::Intent;
use spokelift_lib::state::plan::Outcome;
use spokelift_lib::state::planner::Planner;
use spokelift_lib::state::record::Batch;
use spokelift_lib::state::record::Body;
use spokelift_lib::state::record::Change;
use spokelift_lib::state::record::Edit;
use spokelift_lib::state::record::Record;
use spokelift_lib::state::record::StepRef;

/// Accounts and boxes of the design size; smaller sites get accounts in proportion.
const REFERENCE_ACCOUNTS: u32 = 260;
const REFERENCE_BOXES: u32 = 6400;
/// Services of each account.
const SERVICES_PER_ACCOUNT: u32 = 2;
/// Data halls, and boxes in each rack.
const HALLS: u32 = 14;
const BOXES_PER_RACK: u32 = 4;
/// Boxes of a pool for each replica of a service.
const BOXES_PER_REPLICA: u32 = 10;
/// Daemon id of the writer of generated records.
const WRITER: u16 = 99;

/// Size of a generated site.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub boxes: u32,
    pub pools: u32,
    pub changes: u32,
}

impl Size {
    pub fn accounts(&self) -> u32 {
        (REFERENCE_ACCOUNTS * self.boxes / REFERENCE_BOXES).max(self.pools)
    }
}

/// A record history and the fleet that results from it.
pub struct History {
    pub fleet: Fleet,
    pub batches: Vec<Batch>,
    pub shapes: Shapes,
    size: Size,
    objective: &'static str,
    next_plan: PlanId,
}

impl History {
    /// Publishes a site and places its services. All boxes have the address `addr`.
    pub fn new(size: Size, addr: SocketAddr, objective: &'static str) -> History {
        let shapes = (0..size.boxes).map(|index| (box_name(index).into(), box_shape(index, addr)));
        let shapes = shapes.collect();
        let mut history = History {
            fleet: Fleet::default(),
            batches: Vec::new(),
            shapes,
            size,
            objective,
            next_plan: 1,
        };
        history.publish_site();
        history.place_services();
        history
    }

    /// Appends one record in its own batch; panics if the fleet rejects it.
    pub fn append(&mut self, body: Body) {
        let sequence = self.fleet.next + 1;
        let records = vec![Record { id: u128::from(sequence), body }];
        let batch = Batch { writer: WRITER, incarnation: 1, sequence, records };
        let verdicts = self.fleet.apply(self.fleet.next, &batch);
        if let Some((_, Err(refusal))) = verdicts.first() {
            panic!("a generated record was rejected: {refusal}");
        }
        self.batches.push(batch);
    }

    fn publish_site(&mut self) {
        let mut text = String::new();
        for account in 0..self.size.accounts() {
            text += &format!("[[account]]\nname = \"account-{account}\"\n");
        }
        self.publish_text(&text);
        for pool in 0..self.size.pools {
            let text = self.pool_text(pool);
            self.publish_text(&text);
        }
    }

    fn publish_text(&mut self, text: &str) {
        let document = Document::parse(text).expect("generated configuration parses");
        let change = document.compile(&self.fleet, &self.shapes, &Scope::Site);
        let change = change.expect("generated configuration has no faults");
        self.append(Body::Publish(change));
    }

    fn pool_text(&self, pool: u32) -> String {
        let boxes = (0..self.size.boxes).filter(|index| index % self.size.pools == pool);
        let boxes: Vec<String> = boxes.map(|index| format!("\"{}\"", box_name(index))).collect();
        let owners = (0..self.size.accounts()).filter(|account| account % self.size.pools == pool);
        let owners: Vec<u32> = owners.collect();
        let shared: Vec<String> =
            owners.iter().map(|owner| format!("\"account-{owner}\"")).collect();
        let max_out = (boxes.len() / 10).max(1);
        let mut text = format!(
            "[[pool]]\nname = \"pool-{pool}\"\naccount = \"account-{pool}\"\n\
             max_out = {max_out}\nmax_out_per_hall = {}\nweigh = {:?}\n\
             boxes = [{}]\nshared_with = [{}]\n",
            (max_out / 2).max(1),
            self.objective,
            boxes.join(", "),
            shared.join(", "),
        );
        for owner in owners {
            for service in 0..SERVICES_PER_ACCOUNT {
                text += &format!(
                    "[[service]]\nname = \"service-{service}\"\naccount = \"account-{owner}\"\n\
                     pool = \"pool-{pool}\"\nslots = 1\nmemory_mb = 64\n"
                );
            }
        }
        text
    }

    fn place_services(&mut self) {
        let keys: Vec<_> = self.fleet.services.keys().cloned().collect();
        for (account, service) in keys {
            let pool = &self.fleet.services[&(account.clone(), service.clone())].pool;
            let replicas = (self.fleet.pools[pool].boxes.len() as u32 / BOXES_PER_REPLICA).max(1);
            let plan = self.start_plan(Intent::Place { account, service, replicas });
            let steps = self.fleet.plans[&plan].steps.len() as u32;
            for step in 0..steps {
                let step_ref = StepRef { plan, epoch: 1, step };
                self.append(Body::Assign(step_ref));
                self.append(Body::Finish(step_ref, Outcome::Done));
            }
        }
    }

    /// Plans an intent, confirms the plan and makes [`WRITER`] its driver.
    pub fn start_plan(&mut self, intent: Intent) -> PlanId {
        let planner = Planner { fleet: &self.fleet, shapes: &self.shapes, scope: &Scope::Site };
        let id = self.next_plan;
        self.next_plan += 1;
        let plan = planner.plan(id, intent).expect("a generated intent is feasible");
        self.append(Body::Propose(plan));
        self.append(Body::Confirm(id));
        self.append(Body::Drive { plan: id, holder: WRITER, epoch: 1 });
        id
    }

    /// Appends the maintenance of every box: a permit and an end for each. Returns the number of
    /// records.
    pub fn append_wave(&mut self) -> usize {
        let first = self.batches.len();
        let pools: Vec<_> = self.fleet.pools.keys().cloned().collect();
        for pool in pools {
            let plan = self.start_plan(Intent::Maintain { pools: vec![pool] });
            let steps = self.fleet.plans[&plan].steps.len() as u32;
            for step in 0..steps {
                let step_ref = StepRef { plan, epoch: 1, step };
                self.append(Body::Permit(step_ref));
                self.append(Body::Finish(step_ref, Outcome::Done));
            }
        }
        self.batches.len() - first
    }

    /// Appends changes of configuration, each of one service, in rotation.
    pub fn append_changes(&mut self) {
        let keys: Vec<_> = self.fleet.services.keys().cloned().collect();
        for index in 0..self.size.changes {
            let key = &keys[index as usize % keys.len()];
            let mut service = self.fleet.services[key].clone();
            let base = service.version;
            service.memory_mb = 64 + index % 7;
            // These fields are derived by the fold and are no part of an edit.
            service.placed.clear();
            service.starting.clear();
            let edit = Edit::Service(key.0.clone(), key.1.clone(), base, service);
            self.append(Body::Publish(Change { edits: vec![edit] }));
        }
    }
}

fn box_name(index: u32) -> String {
    format!("box-{index:05}")
}

fn box_shape(index: u32, addr: SocketAddr) -> Shape {
    let rack = index / BOXES_PER_RACK;
    Shape {
        addr,
        hall: format!("hall-{}", rack % HALLS).into(),
        rack: format!("rack-{rack}").into(),
        slots: 16,
        memory_mb: 131_072,
    }
}
