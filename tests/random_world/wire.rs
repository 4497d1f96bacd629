//! Calls and answers between the owner and its workers, and what becomes of them.

use super::{
    CRASH, HELD, Late, MOST_LATE, Message, Moment, ORDER_TIMEOUT, UntoldStart, WAY, Way, World,
    held_by, worker_with_gpus,
};
use crate::lives::WorkerLife;
use crossweir::cell::order::{
    AdviceOrder, Order, PollFailure, PollOrder, PollReport, Refusal, StartOrder, StartOutcome,
    StopOrder,
};
use crossweir::cell::{RunKey, WorkerKey};
use crossweir::clock::Millis;
use rand::Rng;

impl World {
    pub(super) fn carry_out_late(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.late = later;
        for (_, order) in due {
            match order {
                Late::Start(order) => {
                    let outcome = self.carry_start_out(&order);
                    if outcome == StartOutcome::Started {
                        self.note_astray(&order);
                    }
                }
                Late::Stop(order) => {
                    if let Some(worker) = self.workers.get_mut(&order.to.life.id) {
                        // A late stop of a former owner may be refused.
                        let _ = worker.stop(&order, now);
                    }
                }
            }
        }
    }

    /// How long a call or an answer takes; many take no time that the clock shows.
    pub(super) fn way(&mut self) -> Millis {
        if self.chance(40) {
            self.rng.random_range(0..WAY)
        } else {
            0
        }
    }

    pub(super) fn send(&mut self, at: Millis, way: Way) {
        let epoch = self.epoch;
        self.messages.push(Message { at, epoch, way });
    }

    /// Delivers what is due, in any order, and what follows from it at once.
    pub(super) fn deliver(&mut self) {
        while let Some(message) = self.next_due() {
            let epoch = message.epoch;
            match message.way {
                Way::Start(order) => self.start_arrives(epoch, order),
                Way::Stop(order) => self.stop_arrives(epoch, order),
                Way::Look(order) => self.look_arrives(epoch, order),
                answer if epoch == self.epoch => self.answer_arrives(answer),
                _ => {}
            }
        }
    }

    pub(super) fn next_due(&mut self) -> Option<Message> {
        let due = |place: &usize| self.messages[*place].at <= self.now;
        let due: Vec<usize> = (0..self.messages.len()).filter(due).collect();
        if due.is_empty() {
            return None;
        }
        let place = due[self.rng.random_range(0..due.len())];
        Some(self.messages.swap_remove(place))
    }

    pub(super) fn answer(&mut self, epoch: u64, way: Way) {
        let at = self.now + self.way();
        self.messages.push(Message { at, epoch, way });
    }

    pub(super) fn answer_arrives(&mut self, answer: Way) {
        let cell = &mut self.owner.cell;
        match answer {
            Way::StartAnswer(run, outcome, clock) => {
                if outcome != StartOutcome::Unanswered {
                    self.untold.remove(&(self.epoch, run));
                } else if let Some(start) = self.untold.get_mut(&(self.epoch, run)) {
                    start.given_up = Some(self.now);
                }
                cell.start_answered(run, outcome, clock, self.now);
                self.reaches(Moment::Answer);
            }
            Way::StopAnswer(worker, run) => {
                cell.stop_confirmed(run);
                if cell.is_doubtful(run) {
                    // As the owner does: the turn of the worker's own loop may wait.
                    self.send_look(worker, false);
                }
            }
            Way::LookAnswer(order, answer) => self.look_answered(&order, answer),
            Way::Start(_) | Way::Stop(_) | Way::Look(_) => unreachable!("calls, not answers"),
        }
    }

    pub(super) fn look(&mut self) {
        for key in self.owner.cell.worker_keys() {
            if self.owner.cell.is_parked(key) || self.rng.random_ratio(1, 2) {
                continue;
            }
            self.send_look(key, true);
        }
    }

    /// Sends a look, also when others are on their way.
    pub(super) fn send_look(&mut self, key: WorkerKey, waits: bool) {
        let Some(order) = self.owner.cell.poll_order(key, self.now) else {
            return;
        };
        self.owner.keys.insert(order.to.life.id.clone(), key);
        self.note_forgotten(&order);
        let held = if waits && self.chance(10) {
            self.rng.random_range(0..HELD)
        } else {
            0
        };
        let at = self.now + self.way() + held;
        // What the worker forgets it forgets as the look arrives, however long that is held.
        let at = if self.keeps_ids { at - held } else { at };
        self.send(at, Way::Look(order));
    }

    pub(super) fn look_arrives(&mut self, epoch: u64, order: PollOrder) {
        let lost_before = self.chance(4) || self.is_cut(&order.to.life.id);
        let lost_before = lost_before || self.is_lost_with_its_life(&order);
        let lost_after = self.chance(4);
        let is_down = self.is_down(&order.to.life.id);
        if !lost_before {
            self.note_unread(&order);
            if self.workers.contains_key(&order.to.life.id) && epoch == self.epoch {
                self.reached.insert(order.to.life.clone());
            }
        }
        let mut answer = match self.workers.get_mut(&order.to.life.id) {
            _ if lost_before => Err(PollFailure::Unanswered),
            Some(worker) => worker.poll(&order, self.now),
            None if is_down => Err(PollFailure::Refused(Refusal::NotSent)),
            None => Err(PollFailure::Refused(Refusal::Gone)),
        };
        if let Ok(look) = &answer {
            self.listed
                .insert(order.to.life.id.clone(), look.ended.clone());
        }
        if lost_after && answer.is_ok() {
            answer = Err(PollFailure::Unanswered);
        }
        let held = match order.wait {
            wait if self.keeps_ids && wait > 0 && self.chance(10) => self.rng.random_range(0..HELD),
            _ => 0,
        };
        let at = self.now + self.way() + held;
        let way = Way::LookAnswer(order, answer);
        self.messages.push(Message { at, epoch, way });
    }

    /// A look that was on its way when the life ended ends with its connection.  One that the next
    /// life would carry out could make it forget a run that began and ended meanwhile, which
    /// nobody can know of (docs/FINDINGS.md, "Lives").
    pub(super) fn is_lost_with_its_life(&self, order: &PollOrder) -> bool {
        let began = self.workers.get(&order.to.life.id).map(WorkerLife::began);
        self.keeps_ids && began.is_some_and(|began| order.sent <= began)
    }

    pub(super) fn look_answered(
        &mut self,
        order: &PollOrder,
        answer: Result<PollReport, PollFailure>,
    ) {
        let cell = &mut self.owner.cell;
        if answer.is_ok() {
            self.untold.retain(|(epoch, _), start| {
                let told = start.given_up.is_some_and(|at| at < order.sent);
                let told = told || *epoch < self.epoch;
                start.life != order.to.life.id || !told
            });
        }
        let has_ends = matches!(&answer, Ok(list) if !list.ended.is_empty());
        match answer {
            Ok(list) => cell.poll_answered(order, &list, self.now),
            Err(failure) => cell.poll_failed(order.to.worker, failure, self.now),
        }
        if has_ends {
            self.reaches(Moment::Ends);
        }
    }

    pub(super) fn decide(&mut self) {
        if let Some(operator) = &mut self.operator {
            self.owner
                .cell
                .set_evacuated_halls(&operator.told(self.now));
        }
        self.owner.cell.tick(self.now);
        self.owner.cell.schedule(self.now);
        for order in self.owner.cell.take_orders() {
            match order {
                Order::Start(order) => self.start(order),
                Order::Stop(order) => self.stop(order),
                Order::Advise(order) => self.advise(&order),
            }
        }
    }

    /// One worker is good for every step, of the others two of three, always the same ones.
    pub(super) fn advise(&mut self, order: &AdviceOrder) {
        let good = order.workers.iter().filter(|(_, id)| {
            let sum: u64 = id.bytes().map(u64::from).sum();
            let bad = (sum + order.name.job.0 + u64::from(order.name.step)).is_multiple_of(3);
            *id == self.entries[0].life.id || !bad
        });
        let tickets = good.map(|(_, id)| (id.clone(), String::from("ticket")));
        let tickets: Vec<(String, String)> = tickets.collect();
        let answer = (!self.chance(10)).then_some(tickets);
        self.owner.cell.advice_answered(order, answer, self.now);
    }

    pub(super) fn start(&mut self, order: StartOrder) {
        self.check_hall(&order);
        self.note(format!(
            "{}:{} starts on {}",
            order.task, order.number, order.to.life
        ));
        self.reaches(Moment::Start);
        let (run, now) = (order.run, self.now);
        let untold = UntoldStart {
            task: order.task,
            life: order.to.life.id.clone(),
            given_up: None,
        };
        self.untold.insert((self.epoch, run), untold);
        if self.is_cut(&order.to.life.id) {
            self.start_is_lost(run);
        } else if self.chance(5) {
            let at = now + self.rng.random_range(0..MOST_LATE);
            self.late.push((at, Late::Start(order)));
            self.start_is_lost(run);
        } else {
            let at = now + self.way();
            self.send(at, Way::Start(order));
        }
    }

    /// A start brings no answer: the owner waits for one, or its connection breaks.
    pub(super) fn start_is_lost(&mut self, run: RunKey) {
        let wait = self.rng.random_range(0..=ORDER_TIMEOUT);
        let wait = if self.chance(50) { wait } else { 0 };
        let lost = Way::StartAnswer(run, StartOutcome::Unanswered, None);
        self.send(self.now + wait, lost);
    }

    pub(super) fn start_arrives(&mut self, epoch: u64, order: StartOrder) {
        let now = self.now;
        let began = self
            .workers
            .get(&order.to.life.id)
            .map(|worker| worker.began());
        let outcome = self.carry_start_out(&order);
        if outcome == StartOutcome::Started && epoch != self.epoch {
            // A former owner's, which its successor knows nothing of.
            self.note_astray(&order);
        }
        let clock = now - began.unwrap_or_default();
        self.answer(epoch, Way::StartAnswer(order.run, outcome, Some(clock)));
    }

    pub(super) fn carry_start_out(&mut self, order: &StartOrder) -> StartOutcome {
        let Some(worker) = self.workers.get_mut(&order.to.life.id) else {
            return if self.is_down(&order.to.life.id) {
                StartOutcome::Refused(Refusal::NotSent)
            } else {
                StartOutcome::Refused(Refusal::Gone)
            };
        };
        let (outcome, _) = worker.start(order, self.now);
        let is_meant = self.entries.iter().any(|entry| entry.life == order.to.life);
        if outcome == StartOutcome::Started && is_meant {
            // Whatever runs there besides, also by orders that were meant for a former life.
            let running = worker.runs().filter(|run| run.ended.is_none());
            let held = held_by(&self.rows, running);
            let capacity = worker_with_gpus(0).capacity;
            assert!(
                held.fits(&capacity),
                "{} holds {held:?} at {}",
                order.to.life,
                self.now
            );
        }
        if outcome == StartOutcome::Started {
            self.check_cap(order);
        }
        if outcome == StartOutcome::Started && &*order.text == CRASH {
            self.crash_worker(order);
            return StartOutcome::Unanswered;
        }
        outcome
    }

    pub(super) fn stop(&mut self, order: StopOrder) {
        self.note(format!(
            "{}:{} stops on {}",
            order.task, order.number, order.to.life
        ));
        if self.is_cut(&order.to.life.id) {
            return;
        }
        if self.chance(10) {
            let at = self.now + self.rng.random_range(0..MOST_LATE);
            self.late.push((at, Late::Stop(order)));
            return;
        }
        let at = self.now + self.way();
        self.send(at, Way::Stop(order));
    }

    pub(super) fn stop_arrives(&mut self, epoch: u64, order: StopOrder) {
        let Some(worker) = self.workers.get_mut(&order.to.life.id) else {
            return;
        };
        if let (Ok(()), Some(run)) = (worker.stop(&order, self.now), order.run) {
            self.answer(epoch, Way::StopAnswer(order.to.worker, run));
        }
    }
}
