//! Guaranteed shares of classes and lower ranks, by deficit counters.
//!
//! While a class has work, it earns its share of everything that is served and
//! pays for what it is served itself. A class with credit goes first. Work
//! beyond the share never turns into debt larger than one job, and a class
//! without work earns nothing, so unused shares go to the others.

use crate::table::Table;
use crate::types::Name;
use crate::types::Rank;
use crate::types::RowId;

/// Upper bound of the sum of all floors; the rest is served in rank order.
const MAX_TOTAL_FLOOR: f64 = 0.9;

/// Factor by which older jobs lose weight in the recent cost with each new one.
const SERVED_DECAY: f64 = 0.99;

/// Receiver of a floor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Receiver {
    pub(super) rank: Rank,
    /// Row of the class; `None` for all classes of the rank.
    pub(super) class: Option<RowId>,
}

#[derive(Clone, Debug)]
struct Floor {
    receiver: Receiver,
    share: f64,
    credit: f64,
}

/// Deficit counters of all receivers.
#[derive(Clone, Debug, Default)]
pub(super) struct Floors {
    floors: Vec<Floor>,
    /// Recent cost by rank.
    served: [f64; 3],
}

impl Floors {
    /// Floors of the class rows of `service`, or of all class rows if it is empty. A lower
    /// rank without a floor gets `min_floor`.
    pub(super) fn from_table(table: &Table, service: &Name, min_floor: f64) -> Floors {
        let here = |row: &Name| service.as_str().is_empty() || row == service;
        let classes = table.classes().filter(|row| here(&row.service) && row.terms.floor > 0.0);
        let of_class = |(rank, id, share)| Floor {
            receiver: Receiver { rank, class: Some(id) },
            share,
            credit: 0.0,
        };
        let mut floors: Vec<Floor> =
            classes.map(|row| of_class((row.terms.rank, row.id(), row.terms.floor))).collect();
        for rank in [Rank::Standard, Rank::Background] {
            if !floors.iter().any(|floor| floor.receiver.rank == rank) {
                let receiver = Receiver { rank, class: None };
                floors.push(Floor { receiver, share: min_floor, credit: 0.0 });
            }
        }
        let total: f64 = floors.iter().map(|floor| floor.share).sum();
        let scale = (MAX_TOTAL_FLOOR / total.max(f64::MIN_POSITIVE)).min(1.0);
        floors.iter_mut().for_each(|floor| floor.share *= scale);
        Floors { floors, served: [0.0; 3] }
    }

    /// Sum of the shares of a rank.
    pub(super) fn share(&self, rank: Rank) -> f64 {
        let of_rank = self.floors.iter().filter(|floor| floor.receiver.rank == rank);
        of_rank.map(|floor| floor.share).sum()
    }

    /// Whether a rank was served less than its share of late, with or without work to run.
    pub(super) fn is_below(&self, rank: Rank) -> bool {
        let total: f64 = self.served.iter().sum();
        self.served[rank.index()] < self.share(rank) * total
    }

    /// Receiver that is below its share; `ready` says which have work that can run.
    pub(super) fn due(&self, ready: impl Fn(&Receiver) -> bool) -> Option<Receiver> {
        let due = self
            .floors
            .iter()
            .filter(|floor| floor.share > 0.0 && floor.credit >= 0.0 && ready(&floor.receiver));
        due.max_by(|a, b| a.credit.total_cmp(&b.credit)).map(|floor| floor.receiver)
    }

    /// Counts work of `cost` that a class of `rank` was given.
    pub(super) fn charge(
        &mut self,
        rank: Rank,
        class: RowId,
        cost: f64,
        ready: impl Fn(&Receiver) -> bool,
    ) {
        self.served = self.served.map(|served| served * SERVED_DECAY);
        self.served[rank.index()] += cost;
        for floor in &mut self.floors {
            floor.credit = match ready(&floor.receiver) {
                true => floor.credit + floor.share * cost,
                false => floor.credit.min(0.0),
            };
            let receiver = floor.receiver;
            if receiver.rank == rank && receiver.class.is_none_or(|id| id == class) {
                floor.credit = (floor.credit - cost).max(-cost);
            }
        }
    }
}
