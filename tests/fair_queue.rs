//! Fair queueing of client accounts in proportion to their weights.

use medlarstile::core::queue::{CostAverages, FairQueue, QueueBounds};
use medlarstile::error::ErrorKind;
use medlarstile::types::{AccountId, Cost, DurationMs, Timestamp, Weight};
use proptest::prelude::*;
use yare::parameterized;

const NO_DEADLINE: Timestamp = Timestamp(u64::MAX);
const BOUNDS: QueueBounds = QueueBounds { per_account: 100_000, per_pool: 1_000_000 };

fn account(number: usize) -> AccountId {
    format!("account-{number}").parse().expect("id")
}

type Item = (usize, u64);

fn push(queue: &mut FairQueue<Item>, now: u64, number: usize, weight: u32, cost: u64) {
    let (id, item) = (account(number), (number, cost));
    let pushed = queue.push(Timestamp(now), &id, Weight(weight), Cost(cost), NO_DEADLINE, item);
    pushed.expect("within the bounds");
}

/// Pops requests until their total cost reaches `capacity`; returns the cost served per account.
fn serve(queue: &mut FairQueue<Item>, accounts: usize, capacity: u64) -> Vec<u64> {
    let mut served = vec![0; accounts];
    while served.iter().sum::<u64>() < capacity {
        let Some((number, cost)) = queue.pop(Timestamp(1)) else { break };
        served[number] += cost;
    }
    served
}

/// Reference model: weighted max-min fair division of `capacity` by progressive filling.
fn max_min(demands: &[u64], weights: &[u32], capacity: u64) -> Vec<f64> {
    let mut share = vec![0.0; demands.len()];
    let mut open: Vec<usize> = (0..demands.len()).collect();
    let mut rest = capacity as f64;
    while !open.is_empty() {
        let total: f64 = open.iter().map(|i| f64::from(weights[*i])).sum();
        let level = rest / total;
        let full = |i: &usize| demands[*i] as f64 <= level * f64::from(weights[*i]);
        let (done, left): (Vec<usize>, Vec<usize>) = open.iter().partition(|i| full(i));
        if done.is_empty() {
            left.iter().for_each(|i| share[*i] = level * f64::from(weights[*i]));
            break;
        }
        for i in &done {
            share[*i] = demands[*i] as f64;
            rest -= share[*i];
        }
        open = left;
    }
    share
}

/// Guards against an account that gets more service by sending more requests, and against weights
/// and costs that are ignored. Arrivals and service alternate; each round serves the cost of one
/// largest request.
#[parameterized(
    five_times_the_arrivals = { [1, 1], [100, 100], [5, 1] },
    weights = { [3, 1], [100, 100], [5, 5] },
    costs = { [1, 1], [900, 100], [5, 20] },
    weights_and_costs = { [2, 5], [700, 300], [5, 9] },
)]
fn two_accounts_share_in_proportion(weights: [u32; 2], costs: [u64; 2], arrivals: [usize; 2]) {
    let mut queue = FairQueue::new(BOUNDS);
    let (mut arrived, mut served) = ([0_u64; 2], [0_u64; 2]);
    let largest = costs[0].max(costs[1]);
    for round in 0..2_000 {
        for number in 0..2 {
            for _ in 0..arrivals[number] {
                push(&mut queue, round, number, weights[number], costs[number]);
                arrived[number] += costs[number];
            }
        }
        // Serves less than arrives, so that both accounts have waiting requests in most rounds.
        let target = (round + 1) * largest;
        while served[0] + served[1] < target {
            let Some((number, cost)) = queue.pop(Timestamp(round)) else { break };
            served[number] += cost;
        }
    }
    let fair = max_min(&arrived, &weights, served[0] + served[1]);
    println!("served {served:?}, max-min fair {fair:?}");
    for number in 0..2 {
        let distance = (served[number] as f64 - fair[number]).abs();
        let largest = f64::from(weights[number])
            * (0..2).map(|i| costs[i] as f64 / f64::from(weights[i])).fold(0.0, f64::max);
        assert!(distance <= largest, "served {served:?}, fair {fair:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(1), ..ProptestConfig::with_cases(300) })]

    /// Guards against demands, weights and costs for which the service differs from max-min
    /// fairness by more than the largest request.
    #[test]
    fn conforms_to_max_min_fairness(
        lines in prop::collection::vec((1_u32..6, prop::collection::vec(100_u64..2_000, 0..60)), 1..7),
        part in 1_u64..100,
    ) {
        let mut queue = FairQueue::new(BOUNDS);
        for (number, (weight, costs)) in lines.iter().enumerate() {
            costs.iter().for_each(|cost| push(&mut queue, 0, number, *weight, *cost));
        }
        let demands: Vec<u64> = lines.iter().map(|(_, costs)| costs.iter().sum()).collect();
        let weights: Vec<u32> = lines.iter().map(|(weight, _)| *weight).collect();
        let served = serve(&mut queue, lines.len(), demands.iter().sum::<u64>() * part / 100);
        let fair = max_min(&demands, &weights, served.iter().sum());
        let step = |(weight, costs): &(u32, Vec<u64>)| {
            costs.iter().max().map_or(0.0, |cost| *cost as f64 / f64::from(*weight))
        };
        let largest = lines.iter().map(step).fold(0.0, f64::max);
        for (number, weight) in weights.iter().enumerate() {
            let distance = (served[number] as f64 - fair[number]).abs();
            prop_assert!(distance <= largest * f64::from(*weight) + 1.0, "{served:?} {fair:?}");
        }
    }
}

/// Guards against credit for idle time, with which a returning account would starve the others.
#[test]
fn an_idle_account_returns_at_the_present_virtual_time() {
    let mut queue = FairQueue::new(BOUNDS);
    (0..200).for_each(|_| push(&mut queue, 0, 0, 1, 100));
    serve(&mut queue, 2, 10_000);
    (0..100).for_each(|_| push(&mut queue, 0, 1, 1, 100));
    let served = serve(&mut queue, 2, 2_000);
    assert!(served[0].abs_diff(served[1]) <= 100, "{served:?}");
}

/// Guards against unbounded memory growth when one account or all accounts send too many requests.
#[parameterized(per_account = { 1, 256 }, per_pool = { 20, 4_096 })]
fn refuses_above_the_bounds(accounts: usize, most: usize) {
    let mut queue = FairQueue::new(QueueBounds::default());
    let push = |queue: &mut FairQueue<usize>, n: usize| {
        queue.push(Timestamp(0), &account(n % accounts), Weight(1), Cost(100), NO_DEADLINE, n)
    };
    let admitted = (0..6_000).filter(|n| push(&mut queue, *n).is_ok()).count();
    assert_eq!((admitted, queue.len()), (most, most));
    assert_eq!(push(&mut queue, 0), Err(ErrorKind::Overloaded));
}

/// Guards against queueing requests that will miss their deadline, against refusing an account
/// whose own fair share is free (its wait depends on its start tag), and against refusals after a
/// failover, when the interruption must not count as a low service rate.
#[parameterized(long_line = { 0, 50_000, 100, false }, other_account = { 1, 50_000, 100, true }, after_interruption = { 0, 3_000_000, 2_000, true })]
fn refuses_early_only_what_would_be_late(number: usize, now: u64, wait_ms: u64, accepts: bool) {
    let mut queue = FairQueue::new(BOUNDS);
    (0..200).for_each(|_| push(&mut queue, 0, 0, 1, 1_000));
    (0..50).for_each(|n| assert!(queue.pop(Timestamp(n * 1_000)).is_some()));
    (0..8).for_each(|n| assert!(queue.pop(Timestamp(now + n * 1_000)).is_some()));
    let end = Timestamp(now) + DurationMs(wait_ms);
    let pushed = queue.push(Timestamp(now), &account(number), Weight(1), Cost(1_000), end, (0, 0));
    assert_eq!(pushed.is_ok(), accepts, "{pushed:?}");
}

/// Guards against serving requests after their deadline or after their caller disconnected, and
/// against charging their accounts for them.
#[test]
fn requests_that_leave_are_neither_served_nor_charged() {
    let mut queue = FairQueue::new(BOUNDS);
    let mut push = |n: usize, end: u64, item| {
        let end = Timestamp(end);
        queue.push(Timestamp(0), &account(n), Weight(1), Cost(1_000), end, item).expect("room")
    };
    let gone = push(0, 500, (0, 1));
    push(0, 100, (0, 2));
    push(0, 500, (0, 3));
    push(1, 500, (1, 4));
    assert_eq!(queue.remove(&account(0), gone), Some((0, 1)));
    assert_eq!(queue.next_deadline(), Some(Timestamp(100)));
    assert_eq!(queue.pop(Timestamp(200)), Some((0, 3)));
    assert_eq!(queue.expire(Timestamp(200)), [(0, 2)]);
    assert_eq!(queue.pop(Timestamp(200)), Some((1, 4)));
    assert!(queue.is_empty() && queue.remove(&account(0), gone).is_none());
}

/// Guards against a single slow request that raises an account's cost permanently, and against a
/// cost below the minimum.
#[parameterized(new = { &[], 100 }, quick = { &[20], 100 }, first = { &[900], 900 }, moves = { &[900, 1_700], 1_000 })]
fn cost_is_the_moving_average_of_the_slot_time(slot_times: &[u64], expected: u64) {
    let mut costs = CostAverages::default();
    slot_times.iter().for_each(|time| costs.add(&account(0), Cost(*time)));
    assert_eq!(costs.cost(&account(0)), Cost(expected));
}
