//! Where requests go: the boxes that run each service, and this daemon's share of their slots.
//!
//! The slots of a job on a box are divided among the configured daemons once and for all, so a
//! target never gets more than its slots, whichever daemons are alive.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::protocol::call::Reason;
use crate::state::fleet::Entry;
use crate::state::fleet::Fleet;
use crate::state::fleet::Service;
use crate::state::hash;
use crate::state::id::AccountId;
use crate::state::id::BoxId;
use crate::state::id::DaemonId;
use crate::state::id::HallId;
use crate::state::id::ServiceId;
use crate::state::id::ServiceKey;
use crate::transport::clock;

/// How long a box that could not be reached, or turned a request away, is avoided.
const AVOID: Duration = Duration::from_secs(1);
/// How long a box that said it is leaving gets nothing; the box list says so by then.
const LEAVING: Duration = Duration::from_secs(5);
/// How long a waiting request sleeps at most before it looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// The routing table. Follows the fleet and the box list.
pub struct Routes {
    own: DaemonId,
    daemons: Vec<DaemonId>,
    queue_limit: u32,
    table: RwLock<Table>,
    inflight: Arc<AtomicU32>,
}

#[derive(Default)]
struct Table {
    routes: HashMap<AccountId, HashMap<ServiceId, Arc<Route>>>,
    lanes: HashMap<(BoxId, ServiceKey), Arc<Lane>>,
    out: BTreeSet<BoxId>,
    leaving: Arc<BTreeSet<BoxId>>,
}

/// The lanes of one service, and the requests that wait for one.
pub struct Route {
    lanes: RwLock<Arc<[Arc<Lane>]>>,
    freed: Notify,
    waiting: AtomicU32,
}

/// One service on one box, as far as this daemon may use it.
pub struct Lane {
    /// The box.
    pub target: BoxId,
    /// Where it serves.
    pub addr: SocketAddr,
    hall: HallId,
    slots: u32,
    share: u32,
    used: Arc<AtomicU32>,
    open: AtomicBool,
    listed: AtomicBool,
    shut: Mutex<Shut>,
}

#[derive(Default)]
struct Shut {
    avoid: Option<Instant>,
    leaving: Option<Instant>,
}

/// A slot in use; dropping it frees the slot.
pub struct Slot {
    lane: Arc<Lane>,
    route: Arc<Route>,
    inflight: Arc<AtomicU32>,
}

impl Slot {
    /// The lane the slot is on.
    pub fn lane(&self) -> &Lane {
        &self.lane
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.lane.used.fetch_sub(1, Ordering::SeqCst);
        self.inflight.fetch_sub(1, Ordering::SeqCst);
        self.route.freed.notify_one();
    }
}

impl Lane {
    /// Takes a slot, if there is one and the lane is open.
    ///
    /// The slot is counted before the lane is seen to be open. Whoever closes the lane looks at
    /// the count afterwards, so it sees every request that was let through.
    fn take(&self) -> bool {
        let more = |used: u32| (used < self.share).then_some(used + 1);
        if self.used.try_update(Ordering::SeqCst, Ordering::SeqCst, more).is_err() {
            return false;
        }
        if self.is_open() {
            return true;
        }
        self.used.fetch_sub(1, Ordering::SeqCst);
        false
    }

    fn serves(&self, entry: &Entry, slots: u32) -> bool {
        self.addr == entry.shape.addr && self.slots == slots
    }

    /// What speaks against this lane, most weighty first.
    fn cost(&self, hall: &str) -> (bool, bool, u32) {
        (self.is_avoided(), self.hall.as_ref() != hall, self.used.load(Ordering::SeqCst))
    }

    fn is_open(&self) -> bool {
        self.open.load(Ordering::SeqCst)
            && !self.listed.load(Ordering::SeqCst)
            && !self.is_leaving()
    }

    fn is_leaving(&self) -> bool {
        let shut = self.shut.lock().expect("no holder panics");
        shut.leaving.is_some_and(|until| clock::now() < until)
    }

    fn is_avoided(&self) -> bool {
        let shut = self.shut.lock().expect("no holder panics");
        shut.avoid.is_some_and(|until| clock::now() < until)
    }

    /// Prefers other lanes for a while.
    pub fn avoid(&self) {
        let mut shut = self.shut.lock().expect("no holder panics");
        shut.avoid = Some(clock::now() + AVOID);
    }

    /// Sends nothing more here: the box itself said that it is leaving.
    pub fn set_leaving(&self) {
        let mut shut = self.shut.lock().expect("no holder panics");
        shut.leaving = Some(clock::now() + LEAVING);
    }
}

impl Route {
    fn new() -> Route {
        let none: Arc<[Arc<Lane>]> = Arc::new([]);
        Route { lanes: RwLock::new(none), freed: Notify::new(), waiting: AtomicU32::new(0) }
    }

    fn lanes(&self) -> Arc<[Arc<Lane>]> {
        self.lanes.read().expect("no writer panics").clone()
    }
}

/// Counts a request that waits; dropping it counts it out.
struct Waiting<'a>(&'a Route);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Routes {
    /// An empty table for daemon `own` of `daemons`.
    pub fn new(own: DaemonId, daemons: Vec<DaemonId>, queue_limit: u32) -> Routes {
        Routes { own, daemons, queue_limit, table: RwLock::default(), inflight: Arc::default() }
    }

    /// Requests in flight to targets.
    pub fn inflight(&self) -> u32 {
        self.inflight.load(Ordering::SeqCst)
    }

    /// The route of a service.
    pub fn find(&self, account: &str, service: &str) -> Option<Arc<Route>> {
        let table = self.table.read().expect("no writer of the table panics");
        table.routes.get(account)?.get(service).cloned()
    }

    /// Boxes that are out of service and still have requests of this daemon.
    pub fn busy_boxes(&self) -> Vec<BoxId> {
        let table = self.table.read().expect("no writer of the table panics");
        if table.out.is_empty() {
            return Vec::new();
        }
        let busy = |lane: &&Arc<Lane>| {
            lane.used.load(Ordering::SeqCst) > 0 && table.out.contains(&lane.target)
        };
        let busy = table.lanes.values().filter(busy).map(|lane| lane.target.clone());
        let distinct: BTreeSet<BoxId> = busy.collect();
        distinct.into_iter().collect()
    }

    /// Makes the table follow the fleet. Lanes that go on keep their slots in use.
    pub fn rebuild(&self, fleet: &Fleet) {
        let mut table = self.table.write().expect("no writer of the table panics");
        let mut next = Table { leaving: table.leaving.clone(), ..Table::default() };
        for (key, service) in &fleet.services {
            let lanes = self.lanes_of(&table, fleet, key, service);
            for lane in &lanes {
                next.lanes.insert((lane.target.clone(), key.clone()), lane.clone());
            }
            let route = table.route_for(key);
            *route.lanes.write().expect("no writer panics") = lanes.into();
            route.freed.notify_waiters();
            next.routes.entry(key.0.clone()).or_default().insert(key.1.clone(), route);
        }
        let out = fleet.boxes.iter().filter(|(_, entry)| !entry.is_serving());
        next.out = out.map(|(id, _)| id.clone()).collect();
        table.close_missing(&mut next);
        *table = next;
    }

    fn lanes_of(
        &self,
        table: &Table,
        fleet: &Fleet,
        key: &ServiceKey,
        service: &Service,
    ) -> Vec<Arc<Lane>> {
        let mut lanes = Vec::with_capacity(service.placed.len());
        for target in &service.placed {
            let entry = fleet.boxes.get(target).filter(|entry| entry.is_serving());
            let Some(entry) = entry else {
                continue;
            };
            let id = (target.clone(), key.clone());
            let known = table.lanes.get(&id);
            let lane = match known.filter(|known| known.serves(entry, service.slots)) {
                Some(lane) => lane.clone(),
                None => Arc::new(self.lane(&id, entry, service.slots, known)),
            };
            lane.listed.store(table.leaving.contains(target), Ordering::SeqCst);
            lane.open.store(true, Ordering::SeqCst);
            lanes.push(lane);
        }
        lanes
    }

    /// A new lane; requests that the known one still has in flight count against its share.
    fn lane(
        &self,
        id: &(BoxId, ServiceKey),
        entry: &Entry,
        slots: u32,
        known: Option<&Arc<Lane>>,
    ) -> Lane {
        Lane {
            target: id.0.clone(),
            addr: entry.shape.addr,
            hall: entry.shape.hall.clone(),
            slots,
            share: self.share(id, slots),
            used: known.map(|known| known.used.clone()).unwrap_or_default(),
            open: AtomicBool::new(true),
            listed: AtomicBool::new(false),
            shut: Mutex::default(),
        }
    }

    /// This daemon's part of a job's slots on a box: an equal one, and what does not divide goes
    /// to the daemons that rank first for the job and the box.
    fn share(&self, id: &(BoxId, ServiceKey), slots: u32) -> u32 {
        let daemons = self.daemons.len() as u32;
        let key = format!("{}/{}/{}", id.0, id.1.0, id.1.1);
        let rank = hash::rank(key.as_bytes(), self.own, &self.daemons) as u32;
        slots / daemons + u32::from(rank < slots % daemons)
    }

    /// Follows the box list: a box that is leaving gets nothing more.
    pub fn set_leaving(&self, leaving: &Arc<BTreeSet<BoxId>>) {
        let mut table = self.table.write().expect("no writer of the table panics");
        table.leaving = leaving.clone();
        for lane in table.lanes.values() {
            lane.listed.store(leaving.contains(&lane.target), Ordering::SeqCst);
        }
    }

    /// Takes a slot for a request, waiting for one until `deadline`.
    ///
    /// Lanes on boxes of `tried` are passed over. A wait that cannot start, since too many wait
    /// already, is refused at once.
    pub async fn acquire(
        &self,
        route: &Arc<Route>,
        hall: &str,
        tried: &[BoxId],
        deadline: Instant,
    ) -> Result<Slot, Reason> {
        if let Some(slot) = self.try_acquire(route, hall, tried)? {
            return Ok(slot);
        }
        let waiting = route.waiting.fetch_add(1, Ordering::SeqCst);
        let _counted = Waiting(route);
        if waiting >= self.queue_limit {
            return Err(Reason::QueueFull);
        }
        loop {
            let left = deadline.saturating_duration_since(clock::now());
            if left.is_zero() {
                return Err(Reason::Busy);
            }
            // A wake-up may be lost to a request that came in between; looking again bounds that.
            let _ = timeout(left.min(LOOK_AGAIN), route.freed.notified()).await;
            if let Some(slot) = self.try_acquire(route, hall, tried)? {
                return Ok(slot);
            }
        }
    }

    /// The best free lane: one that is not avoided, in this daemon's hall, least used; among equal
    /// ones a random one.
    fn try_acquire(
        &self,
        route: &Arc<Route>,
        hall: &str,
        tried: &[BoxId],
    ) -> Result<Option<Slot>, Reason> {
        let lanes = route.lanes();
        let usable = |lane: &&Arc<Lane>| lane.is_open() && !tried.contains(&lane.target);
        let mut choices: Vec<&Arc<Lane>> = lanes.iter().filter(usable).collect();
        if choices.is_empty() {
            return Err(Reason::NoTarget);
        }
        let start = rand::rng().random_range(0..choices.len());
        choices.rotate_left(start);
        choices.sort_by_cached_key(|lane| lane.cost(hall));
        for lane in choices {
            if lane.take() {
                self.inflight.fetch_add(1, Ordering::SeqCst);
                let lane = lane.clone();
                let inflight = self.inflight.clone();
                return Ok(Some(Slot { lane, route: route.clone(), inflight }));
            }
        }
        Ok(None)
    }
}

impl Table {
    fn route_for(&self, key: &ServiceKey) -> Arc<Route> {
        let known = self.routes.get(&key.0).and_then(|own| own.get(&key.1));
        known.cloned().unwrap_or_else(|| Arc::new(Route::new()))
    }

    /// Closes the lanes that `next` does not have; those still in use stay in it, closed.
    fn close_missing(&self, next: &mut Table) {
        for (id, lane) in &self.lanes {
            let goes_on = next.lanes.get(id).is_some_and(|other| Arc::ptr_eq(other, lane));
            if goes_on {
                continue;
            }
            lane.open.store(false, Ordering::SeqCst);
            if lane.used.load(Ordering::SeqCst) > 0 {
                next.lanes.entry(id.clone()).or_insert_with(|| lane.clone());
            }
        }
    }
}
