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
const AVOID_DURATION: Duration = Duration::from_secs(1);
/// How long a box that said it is leaving gets nothing; the box list says so by then.
const LEAVING_DURATION: Duration = Duration::from_secs(5);
/// How long a waiting request sleeps at most before it looks again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The routing table. Follows the fleet and the box list.
pub struct Routes {
    own_id: DaemonId,
    daemons: Vec<DaemonId>,
    queue_limit: u32,
    table: RwLock<Table>,
    inflight: Arc<AtomicU32>,
}

#[derive(Default)]
struct Table {
    routes: HashMap<AccountId, HashMap<ServiceId, Arc<Route>>>,
    endpoints: HashMap<(BoxId, ServiceKey), Arc<Endpoint>>,
    out_of_service: BTreeSet<BoxId>,
    leaving: Arc<BTreeSet<BoxId>>,
}

/// The lanes of one service, and the requests that wait for one.
pub struct Route {
    endpoints: RwLock<Arc<[Arc<Endpoint>]>>,
    slot_freed: Notify,
    waiting_requests: AtomicU32,
}

/// One service on one box, as far as this daemon may use it.
pub struct Endpoint {
    /// The box.
    pub target: BoxId,
    /// Where it serves.
    pub addr: SocketAddr,
    hall: HallId,
    slots: u32,
    own_slots: u32,
    used_slots: Arc<AtomicU32>,
    is_routed: AtomicBool,
    is_listed_leaving: AtomicBool,
    restrictions: Mutex<Restrictions>,
}

#[derive(Default)]
struct Restrictions {
    avoid_until: Option<Instant>,
    leaving_until: Option<Instant>,
}

/// A slot in use; dropping it frees the slot.
pub struct Slot {
    endpoint: Arc<Endpoint>,
    route: Arc<Route>,
    inflight: Arc<AtomicU32>,
}

impl Slot {
    /// The lane the slot is on.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.endpoint.used_slots.fetch_sub(1, Ordering::SeqCst);
        self.inflight.fetch_sub(1, Ordering::SeqCst);
        self.route.slot_freed.notify_one();
    }
}

impl Endpoint {
    /// Takes a slot, if there is one and the lane is open.
    ///
    /// The slot is counted before the lane is seen to be open. Whoever closes the lane looks at
    /// the count afterwards, so it sees every request that was let through.
    fn try_take_slot(&self) -> bool {
        let more = |used: u32| (used < self.own_slots).then_some(used + 1);
        if self.used_slots.try_update(Ordering::SeqCst, Ordering::SeqCst, more).is_err() {
            return false;
        }
        if self.is_available() {
            return true;
        }
        self.used_slots.fetch_sub(1, Ordering::SeqCst);
        false
    }

    fn matches_entry(&self, entry: &Entry, slots: u32) -> bool {
        self.addr == entry.shape.addr && self.slots == slots
    }

    /// What speaks against this lane, most weighty first.
    fn cost(&self, hall: &str) -> (bool, bool, u32) {
        (self.is_avoided(), self.hall.as_ref() != hall, self.used_slots.load(Ordering::SeqCst))
    }

    fn is_available(&self) -> bool {
        self.is_routed.load(Ordering::SeqCst)
            && !self.is_listed_leaving.load(Ordering::SeqCst)
            && !self.is_leaving()
    }

    fn is_leaving(&self) -> bool {
        let shut = self.restrictions.lock().expect("no holder panics");
        shut.leaving_until.is_some_and(|until| clock::now() < until)
    }

    fn is_avoided(&self) -> bool {
        let shut = self.restrictions.lock().expect("no holder panics");
        shut.avoid_until.is_some_and(|until| clock::now() < until)
    }

    /// Prefers other lanes for a while.
    pub fn mark_avoided(&self) {
        let mut shut = self.restrictions.lock().expect("no holder panics");
        shut.avoid_until = Some(clock::now() + AVOID_DURATION);
    }

    /// Sends nothing more here: the box itself said that it is leaving.
    pub fn mark_leaving(&self) {
        let mut shut = self.restrictions.lock().expect("no holder panics");
        shut.leaving_until = Some(clock::now() + LEAVING_DURATION);
    }
}

impl Route {
    fn new() -> Route {
        let none: Arc<[Arc<Endpoint>]> = Arc::new([]);
        Route {
            endpoints: RwLock::new(none),
            slot_freed: Notify::new(),
            waiting_requests: AtomicU32::new(0),
        }
    }

    fn endpoints(&self) -> Arc<[Arc<Endpoint>]> {
        self.endpoints.read().expect("no writer panics").clone()
    }
}

/// Counts a request that waits; dropping it counts it out.
struct WaitGuard<'a>(&'a Route);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Routes {
    /// An empty table for daemon `own` of `daemons`.
    pub fn new(own: DaemonId, daemons: Vec<DaemonId>, queue_limit: u32) -> Routes {
        Routes {
            own_id: own,
            daemons,
            queue_limit,
            table: RwLock::default(),
            inflight: Arc::default(),
        }
    }

    /// Requests in flight to targets.
    pub fn inflight(&self) -> u32 {
        self.inflight.load(Ordering::SeqCst)
    }

    /// The route of a service.
    pub fn find_route(&self, account: &str, service: &str) -> Option<Arc<Route>> {
        let table = self.table.read().expect("no writer of the table panics");
        table.routes.get(account)?.get(service).cloned()
    }

    /// Boxes that are out of service and still have requests of this daemon.
    pub fn busy_boxes(&self) -> Vec<BoxId> {
        let table = self.table.read().expect("no writer of the table panics");
        if table.out_of_service.is_empty() {
            return Vec::new();
        }
        let busy = |lane: &&Arc<Endpoint>| {
            lane.used_slots.load(Ordering::SeqCst) > 0
                && table.out_of_service.contains(&lane.target)
        };
        let busy = table.endpoints.values().filter(busy).map(|lane| lane.target.clone());
        let distinct: BTreeSet<BoxId> = busy.collect();
        distinct.into_iter().collect()
    }

    /// Makes the table follow the fleet. Lanes that go on keep their slots in use.
    pub fn rebuild(&self, fleet: &Fleet) {
        let mut table = self.table.write().expect("no writer of the table panics");
        let mut next = Table { leaving: table.leaving.clone(), ..Table::default() };
        for (key, service) in &fleet.services {
            let lanes = self.endpoints_of(&table, fleet, key, service);
            for lane in &lanes {
                next.endpoints.insert((lane.target.clone(), key.clone()), lane.clone());
            }
            let route = table.route_for(key);
            *route.endpoints.write().expect("no writer panics") = lanes.into();
            route.slot_freed.notify_waiters();
            next.routes.entry(key.0.clone()).or_default().insert(key.1.clone(), route);
        }
        let out = fleet.boxes.iter().filter(|(_, entry)| !entry.is_serving());
        next.out_of_service = out.map(|(id, _)| id.clone()).collect();
        table.close_missing(&mut next);
        *table = next;
    }

    fn endpoints_of(
        &self,
        table: &Table,
        fleet: &Fleet,
        key: &ServiceKey,
        service: &Service,
    ) -> Vec<Arc<Endpoint>> {
        let mut lanes = Vec::with_capacity(service.placed.len());
        for target in &service.placed {
            let entry = fleet.boxes.get(target).filter(|entry| entry.is_serving());
            let Some(entry) = entry else {
                continue;
            };
            let id = (target.clone(), key.clone());
            let known = table.endpoints.get(&id);
            let lane = match known.filter(|known| known.matches_entry(entry, service.slots)) {
                Some(lane) => lane.clone(),
                None => Arc::new(self.new_endpoint(&id, entry, service.slots, known)),
            };
            lane.is_listed_leaving.store(table.leaving.contains(target), Ordering::SeqCst);
            lane.is_routed.store(true, Ordering::SeqCst);
            lanes.push(lane);
        }
        lanes
    }

    /// A new lane; requests that the known one still has in flight count against its share.
    fn new_endpoint(
        &self,
        id: &(BoxId, ServiceKey),
        entry: &Entry,
        slots: u32,
        known: Option<&Arc<Endpoint>>,
    ) -> Endpoint {
        Endpoint {
            target: id.0.clone(),
            addr: entry.shape.addr,
            hall: entry.shape.hall.clone(),
            slots,
            own_slots: self.own_slots(id, slots),
            used_slots: known.map(|known| known.used_slots.clone()).unwrap_or_default(),
            is_routed: AtomicBool::new(true),
            is_listed_leaving: AtomicBool::new(false),
            restrictions: Mutex::default(),
        }
    }

    /// This daemon's part of a job's slots on a box: an equal one, and what does not divide goes
    /// to the daemons that rank first for the job and the box.
    fn own_slots(&self, id: &(BoxId, ServiceKey), slots: u32) -> u32 {
        let daemons = self.daemons.len() as u32;
        let key = format!("{}/{}/{}", id.0, id.1.0, id.1.1);
        let rank = hash::rank(key.as_bytes(), self.own_id, &self.daemons) as u32;
        slots / daemons + u32::from(rank < slots % daemons)
    }

    /// Follows the box list: a box that is leaving gets nothing more.
    pub fn set_leaving(&self, leaving: &Arc<BTreeSet<BoxId>>) {
        let mut table = self.table.write().expect("no writer of the table panics");
        table.leaving = leaving.clone();
        for lane in table.endpoints.values() {
            lane.is_listed_leaving.store(leaving.contains(&lane.target), Ordering::SeqCst);
        }
    }

    /// Takes a slot for a request, waiting for one until `deadline`.
    ///
    /// Lanes on boxes of `tried` are passed over. A wait that cannot start, since too many wait
    /// already, is refused at once.
    pub async fn acquire_slot(
        &self,
        route: &Arc<Route>,
        hall: &str,
        tried: &[BoxId],
        deadline: Instant,
    ) -> Result<Slot, Reason> {
        if let Some(slot) = self.try_acquire_slot(route, hall, tried)? {
            return Ok(slot);
        }
        let waiting = route.waiting_requests.fetch_add(1, Ordering::SeqCst);
        let _counted = WaitGuard(route);
        if waiting >= self.queue_limit {
            return Err(Reason::QueueFull);
        }
        loop {
            let left = deadline.saturating_duration_since(clock::now());
            if left.is_zero() {
                return Err(Reason::Busy);
            }
            // A wake-up may be lost to a request that came in between; looking again bounds that.
            let _ = timeout(left.min(RECHECK_INTERVAL), route.slot_freed.notified()).await;
            if let Some(slot) = self.try_acquire_slot(route, hall, tried)? {
                return Ok(slot);
            }
        }
    }

    /// The best free lane: one that is not avoided, in this daemon's hall, least used; among equal
    /// ones a random one.
    fn try_acquire_slot(
        &self,
        route: &Arc<Route>,
        hall: &str,
        tried: &[BoxId],
    ) -> Result<Option<Slot>, Reason> {
        let lanes = route.endpoints();
        let usable = |lane: &&Arc<Endpoint>| lane.is_available() && !tried.contains(&lane.target);
        let mut choices: Vec<&Arc<Endpoint>> = lanes.iter().filter(usable).collect();
        if choices.is_empty() {
            return Err(Reason::NoTarget);
        }
        let start = rand::rng().random_range(0..choices.len());
        choices.rotate_left(start);
        choices.sort_by_cached_key(|lane| lane.cost(hall));
        for lane in choices {
            if lane.try_take_slot() {
                self.inflight.fetch_add(1, Ordering::SeqCst);
                let lane = lane.clone();
                let inflight = self.inflight.clone();
                return Ok(Some(Slot { endpoint: lane, route: route.clone(), inflight }));
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
        for (id, lane) in &self.endpoints {
            let goes_on = next.endpoints.get(id).is_some_and(|other| Arc::ptr_eq(other, lane));
            if goes_on {
                continue;
            }
            lane.is_routed.store(false, Ordering::SeqCst);
            if lane.used_slots.load(Ordering::SeqCst) > 0 {
                next.endpoints.entry(id.clone()).or_insert_with(|| lane.clone());
            }
        }
    }
}
