//! Looks at workers: each renews a lease and hears what has ended.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::call::CallError;
use spokelift_platform::worker::Born;
use spokelift_platform::worker::Life;
use spokelift_platform::worker::Look;
use spokelift_platform::worker::Refusal;
use spokelift_platform::worker::Seen;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::carry::Carrier;
use crate::batch::carry::charge::Charge;
use crate::batch::carry::charge::State;
use crate::batch::carry::message::Event;
use crate::batch::worker::LOOK_WAIT;
use crate::batch::worker::table::Number;
use crate::transport::clock;

/// The same where tasks that serve stand beside tasks that take leftovers.
const LOOK_WAIT_CLOSELY: Duration = Duration::from_millis(600);
/// How long a look may take beyond its wait.
const LOOK: Duration = Duration::from_millis(600);
/// How long a look may take that does not wait for an end; answers come in about 2 ms.
const LOOK_NOW: Duration = Duration::from_millis(300);
/// Longest pause between looks at a worker that does not answer.
const LOOK_PAUSE: Duration = Duration::from_millis(400);
/// How long what one look has brought waits for the store before the worker is looked at again.
const AWAIT_STORE: Duration = Duration::from_millis(300);
/// Time between questions whether there is a licence again.
const LICENSE_PAUSE: Duration = Duration::from_millis(20);

/// Looks at one worker again and again: renews its lease, hears what ends.
pub(super) async fn look(carrier: Arc<Carrier>, number: Number, charge: Arc<Charge>) {
    loop {
        while !carrier.license.holds() {
            sleep(LICENSE_PAUSE).await;
        }
        let sent = clock::now();
        let message = next_look(&charge, sent);
        match carrier.tools.workers.look(&charge.peer, &message, LOOK).await {
            Ok(seen) => {
                if !tell_seen(&carrier, number, &charge, sent, seen) {
                    return;
                }
                // The next look extends its leases, and acknowledges the ends that it has listed.
                await_store(&charge, &charge.granting, |state| state.grants).await;
                await_store(&charge, &charge.durable, |state| state.told <= state.durable).await;
            }
            Err(error) => {
                if !is_worth_another(&carrier, number, &charge, &error) {
                    return;
                }
                sleep(LOOK_PAUSE).await;
            }
        }
    }
}

/// Looks at a worker once, without waiting for an end, and beside the looks that do. Used to learn
/// at once what became of an order: the next look may be 1.2 s away.
pub(super) async fn look_now(carrier: &Carrier, number: Number, charge: &Charge) -> Option<Seen> {
    charge.state().clock?;
    // It may go over another connection than the looks that wait, so another life may answer it: it only asks.
    let look = Look { token: charge.token, seen: 0, lease_until: None, wait_ms: 0 };
    let sent = clock::now();
    match carrier.tools.workers.look(&charge.peer, &look, LOOK_NOW).await {
        Ok(seen) => tell_seen(carrier, number, charge, sent, seen.clone()).then_some(seen),
        // The looks that go on tell whether the worker is silent.
        Err(error) => {
            log::debug!("worker {} does not answer at once: {error}", charge.peer.life);
            None
        }
    }
}

/// Tells the scheduler of an answer; `false` if another life gave it.
fn tell_seen(
    carrier: &Carrier,
    number: Number,
    charge: &Charge,
    sent: Instant,
    mut seen: Seen,
) -> bool {
    let now = clock::now();
    // Told under the lock: of two answers the later one must be told last.
    let mut state = charge.state();
    if let Some(born) = seen.born.filter(|_| !charge.peer.life.may_have_told(seen.born)) {
        if state.is_over_by(sent) {
            carrier.tools.counters.count("batch.worker.other-life");
            log_other_life(&charge.peer.life, born, &state, &seen);
            carrier.tell(Event::OtherLife { number, born });
            return false;
        }
        // The next look tells.
        return true;
    }
    let (sent, at) = (carrier.moment(sent), carrier.moment(now));
    if state.take(&mut seen, now) {
        let lease_until = state.lease_until;
        carrier.tell(Event::Seen { number, sent, at, lease_until, seen });
    }
    true
}

/// Tells that a worker has started again under its id, with what the life before had said: its clock, and the number of
/// its last end.
fn log_other_life(life: &Life, born: Born, state: &State, seen: &Seen) {
    log::info!(
        worker:% = life,
        born,
        clock = seen.clock,
        clock_before = state.clock.map_or(0, |(clock, _)| clock),
        last_end = seen.ended.iter().map(|end| end.number).max().unwrap_or(0),
        last_end_before = state.told;
        "another life answers under this id"
    );
}

/// Takes in that a look failed; `false` if the worker is not to be looked at again.
fn is_worth_another(carrier: &Carrier, number: Number, charge: &Charge, error: &CallError) -> bool {
    carrier.tools.counters.count("batch.look.failed");
    match Refusal::of(error) {
        Some(Refusal::Fenced) => {
            carrier.tell(Event::Fenced { number, token: charge.token });
            return false;
        }
        Some(Refusal::OtherLife) => {
            carrier.tell(Event::OtherId { number });
            return false;
        }
        _ => {}
    }
    log::debug!("worker {} does not answer: {error}", charge.peer.life);
    let mut state = charge.state();
    state.misses += 1;
    let lease_until = state.lease_until;
    drop(state);
    carrier.tell(Event::Missed { number, lease_until });
    true
}

fn next_look(charge: &Charge, now: Instant) -> Look {
    let mut state = charge.state();
    let is_settled = state.grants && state.told == state.durable;
    let waits = state.clock.is_some() && state.misses == 0 && is_settled;
    let wait = match (waits, state.closely) {
        (false, _) => Duration::ZERO,
        (true, true) => LOOK_WAIT_CLOSELY,
        (true, false) => LOOK_WAIT,
    };
    // After a look without an answer another life may be there, of whose ends nobody has heard.
    let seen = if state.misses == 0 { state.durable } else { 0 };
    Look {
        token: charge.token,
        seen,
        lease_until: state.grant(now),
        wait_ms: wait.as_millis() as u64,
    }
}

/// Waits until what is known of a worker is so, for up to [`AWAIT_STORE`].
async fn await_store(charge: &Charge, changed: &Notify, is_done: impl Fn(&State) -> bool) {
    let done = async {
        loop {
            let change = changed.notified();
            if is_done(&charge.state()) {
                return;
            }
            change.await;
        }
    };
    // While the store is away, the worker is looked at all the same, to renew its lease and to hear of its ends.
    let _ = timeout(AWAIT_STORE, done).await;
}
