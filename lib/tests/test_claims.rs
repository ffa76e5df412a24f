//! What a node promises about claiming the leader lease, and what it does about it.

use std::time::Duration;

use spokelift_lib::batch::leader::claim::Claims;
use spokelift_lib::batch::leader::claim::State;
use spokelift_lib::batch::leader::lease::TAKEOVER_TIMEOUT;
use spokelift_lib::transport::clock;

/// Guards against a leader that goes on although a node holds its lease already: the store may carry
/// out a claim seconds after the node has read the lease without it.
#[test]
fn a_node_promises_nothing_until_its_claim_is_decided() {
    let (claims, now) = (Claims::default(), clock::now());
    claims.record_read(8);
    claims.set_state(State::Read(now));
    assert!(claims.start_claim(8, now));
    claims.record_read(8);
    claims.set_state(State::Read(now));
    assert_eq!(claims.promise(now), Duration::ZERO);
    claims.record_read(9);
    assert_eq!(claims.promise(now), TAKEOVER_TIMEOUT);
}

/// Guards against a claim during a promise: a node that cannot read the lease promises to wait, and then reads
/// that it is free.
#[test]
fn a_promise_binds_whatever_is_read_later() {
    let (claims, now) = (Claims::default(), clock::now());
    let promise = claims.promise(now);
    assert_eq!(promise, TAKEOVER_TIMEOUT);
    claims.set_state(State::Claimed);
    let later = now + promise / 2;
    assert_eq!(claims.promise(later), Duration::ZERO);
    assert!(!claims.start_claim(8, later));
    assert!(claims.start_claim(8, now + promise));
}

/// Guards against a new leader that counts its lease from when it read its claim: other nodes may have
/// read it seconds before, and count from there.
#[test]
fn a_claim_counts_from_when_it_was_first_sent() {
    let (claims, now) = (Claims::default(), clock::now());
    let (second, third) = (now + Duration::from_secs(1), now + Duration::from_secs(2));
    assert!(claims.start_claim(8, now) && claims.start_claim(8, second));
    assert_eq!(claims.sent_at(8), Some(now));
    assert!(claims.start_claim(9, third));
    assert_eq!((claims.sent_at(8), claims.sent_at(9)), (None, Some(third)));
}
