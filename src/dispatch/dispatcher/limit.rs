//! Limits that targets name in their responses.

use super::Dispatcher;
use crate::{
    catalog,
    dispatch::{Action, Limited, reading::Reading, target::key_of_run},
    unit::{Rate, Time},
};

impl Dispatcher {
    /// Records what the response to a request that was sent at a time said of its target's limit.
    pub(super) fn record_limit(
        &mut self,
        now: Time,
        number: u64,
        run: &catalog::Run,
        (sent, limit): (Time, Option<Rate>),
        out: &mut Vec<Action>,
    ) {
        let reading = Reading {
            limit,
            sent,
            received: now,
        };
        if self.limits.record(key_of_run(run), reading) {
            out.push(Action::TargetLimited {
                number,
                target: run.target.clone(),
                limit,
            });
        }
    }

    /// Returns what was sent to each target with a limit since the last call.
    pub fn take_limited(&mut self) -> Vec<Limited> {
        let names = &self.names;
        let limited = self
            .limits
            .take_sent()
            .filter(|(_, _, sent)| *sent > 0)
            .filter_map(|(target, limit, sent)| {
                Some(Limited {
                    target: names.get(&target)?.clone(),
                    limit,
                    sent,
                })
            });
        limited.collect()
    }
}
