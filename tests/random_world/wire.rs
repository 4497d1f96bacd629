//! Calls and answers between the owner and its workers: their delays, losses and effects.

use super::{
    CRASHING_TASK, DelayedOrder, LATE_START_PERCENT, MAX_MESSAGE_DELAY, MAX_ORDER_DELAY,
    MAX_POLL_HOLD, Message, Moment, ORDER_TIMEOUT, Payload, UnresolvedStart, World, held_by,
    number, worker_with_gpus,
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
    pub(super) fn execute_delayed_orders(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed_orders)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.delayed_orders = later;
        for (_, order) in due {
            match order {
                DelayedOrder::Start(order) => {
                    let outcome = self.execute_start(&order);
                    if outcome == StartOutcome::Started {
                        self.note_start_by_wrong_life(&order);
                    }
                }
                DelayedOrder::Stop(order) => {
                    if let Some(worker) = self.workers.get_mut(&order.to.life.id) {
                        // A late stop of a former owner may be refused.
                        let _ = worker.stop(&order, now);
                    }
                }
            }
        }
    }

    /// Draws how long a call or an answer takes; many take no time.
    pub(super) fn draw_message_delay(&mut self) -> Millis {
        if self.chance(40) {
            self.rng.random_range(0..MAX_MESSAGE_DELAY)
        } else {
            0
        }
    }

    pub(super) fn send(&mut self, at: Millis, payload: Payload) {
        let epoch = self.epoch;
        self.messages.push(Message { at, epoch, payload });
    }

    /// Delivers the messages that are due, in random order, including those that this triggers.
    pub(super) fn deliver(&mut self) {
        while let Some(message) = self.next_due() {
            let epoch = message.epoch;
            match message.payload {
                Payload::Start(order) => self.start_arrives(epoch, order),
                Payload::Stop(order) => self.stop_arrives(epoch, order),
                Payload::Poll(order) => self.poll_arrives(epoch, order),
                answer if epoch == self.epoch => self.answer_arrives(answer),
                Payload::StartAnswer(run, outcome, _) => {
                    tracing::debug!(
                        now = self.now,
                        epoch,
                        ?run,
                        ?outcome,
                        "answer finds no owner"
                    );
                }
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

    pub(super) fn send_answer(&mut self, epoch: u64, payload: Payload) {
        let at = self.now + self.draw_message_delay();
        self.messages.push(Message { at, epoch, payload });
    }

    pub(super) fn answer_arrives(&mut self, answer: Payload) {
        let cell = &mut self.owner.cell;
        match answer {
            Payload::StartAnswer(run, outcome, clock) => {
                if outcome != StartOutcome::Unanswered {
                    self.unresolved_starts.remove(&(self.epoch, run));
                } else if let Some(start) = self.unresolved_starts.get_mut(&(self.epoch, run)) {
                    start.given_up = Some(self.now);
                }
                tracing::debug!(now = self.now, ?run, ?outcome, clock, "start is answered");
                cell.start_answered(run, outcome, clock, self.now);
                self.note_moment(Moment::Answer);
            }
            Payload::StopAnswer(worker, run) => {
                tracing::debug!(now = self.now, ?run, "stop is confirmed");
                cell.stop_confirmed(run);
                if cell.is_doubtful(run) {
                    // As the owner does: the next poll of the worker's own loop may come late.
                    self.send_poll(worker, false);
                }
            }
            Payload::PollAnswer(order, answer) => self.poll_answer_arrives(&order, answer),
            Payload::Start(_) | Payload::Stop(_) | Payload::Poll(_) => {
                unreachable!("calls, not answers")
            }
        }
    }

    pub(super) fn poll_workers(&mut self) {
        for key in self.owner.cell.worker_keys() {
            if self.owner.cell.is_parked(key) || self.rng.random_ratio(1, 2) {
                continue;
            }
            self.send_poll(key, true);
        }
    }

    /// Sends a poll, also while others are in flight.
    pub(super) fn send_poll(&mut self, key: WorkerKey, waits: bool) {
        let Some(order) = self.owner.cell.poll_order(key, self.now) else {
            return;
        };
        self.owner.keys.insert(order.to.life.id.clone(), key);
        self.note_acknowledged_ends(&order);
        let held = if waits && self.chance(10) {
            self.rng.random_range(0..MAX_POLL_HOLD)
        } else {
            0
        };
        let at = self.now + self.draw_message_delay() + held;
        // The worker forgets ends when the poll arrives, however long it holds the poll open.
        let at = if self.keeps_ids { at - held } else { at };
        self.send(at, Payload::Poll(order));
    }

    pub(super) fn poll_arrives(&mut self, epoch: u64, order: PollOrder) {
        let lost_before = self.chance(4) || self.is_disconnected(&order.to.life.id);
        let lost_before = lost_before || self.is_lost_with_its_life(&order);
        let lost_after = self.chance(4) || self.is_deaf();
        let is_down = self.is_down(&order.to.life.id);
        tracing::debug!(
            now = self.now,
            sent = order.sent,
            owner = epoch,
            to = %order.to.life,
            epoch = order.to.epoch,
            lost_before,
            lost_after,
            is_down,
            "poll arrives"
        );
        if !lost_before {
            self.note_ends_dropped_by_worker(&order);
            if self.workers.contains_key(&order.to.life.id) && epoch == self.epoch {
                self.polled_lives.insert(order.to.life.clone());
            }
        }
        let mut answer = match self.workers.get_mut(&order.to.life.id) {
            _ if lost_before => Err(PollFailure::Unanswered),
            Some(worker) => worker.poll(&order, self.now),
            None if is_down => Err(PollFailure::Refused(Refusal::NotSent)),
            None => Err(PollFailure::Refused(Refusal::Gone)),
        };
        if let Ok(report) = &answer {
            self.listed
                .insert(order.to.life.id.clone(), report.ended.clone());
        }
        if lost_after && answer.is_ok() {
            answer = Err(PollFailure::Unanswered);
        }
        let held = match order.wait {
            wait if self.keeps_ids && wait > 0 && self.chance(10) => {
                self.rng.random_range(0..MAX_POLL_HOLD)
            }
            _ => 0,
        };
        let at = self.now + self.draw_message_delay() + held;
        let payload = Payload::PollAnswer(order, answer);
        self.messages.push(Message { at, epoch, payload });
    }

    /// Tells whether a poll was in flight when the life that it was sent to ended: it is lost with
    /// the connection.  If the next life executed it, that could forget a run that began and ended
    /// meanwhile, which nobody can know of (docs/FINDINGS.md, "Lives").
    pub(super) fn is_lost_with_its_life(&self, order: &PollOrder) -> bool {
        let began = self.workers.get(&order.to.life.id).map(WorkerLife::began);
        self.keeps_ids && began.is_some_and(|began| order.sent <= began)
    }

    pub(super) fn poll_answer_arrives(
        &mut self,
        order: &PollOrder,
        answer: Result<PollReport, PollFailure>,
    ) {
        let cell = &mut self.owner.cell;
        if answer.is_ok() {
            self.unresolved_starts.retain(|(epoch, _), start| {
                let is_known = start.given_up.is_some_and(|at| at < order.sent);
                let is_known = is_known || *epoch < self.epoch;
                start.life != order.to.life.id || !is_known
            });
        }
        let has_ends = matches!(&answer, Ok(list) if !list.ended.is_empty());
        tracing::debug!(
            now = self.now,
            sent = order.sent,
            owner = self.epoch,
            to = %order.to.life,
            born = answer.as_ref().ok().and_then(|list| list.born),
            failure = answer.as_ref().err().map(tracing::field::debug),
            "poll is answered"
        );
        match answer {
            Ok(list) => cell.poll_answered(order, &list, self.now),
            Err(failure) => cell.poll_failed(order.to.worker, failure, self.now),
        }
        if has_ends {
            self.note_moment(Moment::Ends);
        }
    }

    /// Witnesses answer the owner's questions about workers that it does not hear.
    fn ask_witnesses(&mut self) {
        let now = self.now;
        for question in self.owner.cell.take_silence_questions(now) {
            let id = &question.to.life.id;
            if self.is_disconnected(id) || !self.workers.contains_key(id) {
                self.owner.cell.note_unreached(&question);
                continue;
            }
            let worker = self.workers.get_mut(id).expect("a worker");
            if let Ok(report) = worker.poll(&question, now) {
                self.listed.insert(id.clone(), report.ended.clone());
                let cell = &mut self.owner.cell;
                cell.witness_heard(&question, &report, now);
            }
        }
    }

    pub(super) fn run_scheduling_round(&mut self) {
        if let Some(operator) = &mut self.operator {
            self.owner
                .cell
                .set_evacuated_halls(&operator.known_halls(self.now));
        }
        self.ask_witnesses();
        self.owner.cell.tick(self.now);
        self.owner.cell.schedule(self.now);
        for order in self.owner.cell.take_orders() {
            match order {
                Order::Start(order) => self.send_start(order),
                Order::Stop(order) => self.send_stop(order),
                Order::Advise(order) => self.advise(&order),
            }
        }
    }

    /// Answers an advice question: one worker is approved for every step, and of the others two of
    /// three, always the same ones.
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

    pub(super) fn send_start(&mut self, order: StartOrder) {
        self.check_hall(&order);
        self.add_history(format!(
            "{}:{} starts on {}",
            order.task, order.number, order.to.life
        ));
        tracing::debug!(
            now = self.now,
            owner = self.epoch,
            task = %order.task,
            number = order.number,
            run = ?order.run,
            to = %order.to.life,
            epoch = order.to.epoch,
            due = order.due,
            recorded = self.recorded_runs.contains(&order.number),
            "start is sent"
        );
        self.note_moment(Moment::Start);
        let (run, now) = (order.run, self.now);
        let recorded_first = self.recorded_runs.contains(&order.number);
        self.first_starts.note_start(&order, recorded_first, now);
        let start = UnresolvedStart {
            task: order.task,
            life: order.to.life.id.clone(),
            given_up: None,
        };
        self.unresolved_starts.insert((self.epoch, run), start);
        if self.is_disconnected(&order.to.life.id) {
            tracing::debug!(now, number = order.number, "start is lost on its way");
            self.send_lost_start_answer(run);
        } else if self.chance(number("CROSSWEIR_LATE", LATE_START_PERCENT) as u32) {
            let at = now + self.rng.random_range(0..MAX_ORDER_DELAY);
            tracing::debug!(now, number = order.number, at, "start will arrive late");
            self.delayed_orders.push((at, DelayedOrder::Start(order)));
            self.send_lost_start_answer(run);
        } else {
            let at = now + self.draw_message_delay();
            self.send(at, Payload::Start(order));
        }
    }

    /// A start is not answered: the owner waits until its time-out, or the connection breaks
    /// earlier.
    pub(super) fn send_lost_start_answer(&mut self, run: RunKey) {
        let wait = self.rng.random_range(0..=ORDER_TIMEOUT);
        let wait = if self.chance(50) { wait } else { 0 };
        let lost = Payload::StartAnswer(run, StartOutcome::Unanswered, None);
        self.send(self.now + wait, lost);
    }

    pub(super) fn start_arrives(&mut self, epoch: u64, order: StartOrder) {
        let now = self.now;
        let worker = self.workers.get(&order.to.life.id);
        let clock = worker.map_or(now, |worker| worker.clock(now));
        let outcome = self.execute_start(&order);
        if outcome == StartOutcome::Started && epoch != self.epoch {
            // It was sent by a former owner, and its successor does not know of it.
            self.note_start_by_wrong_life(&order);
        }
        if self.is_deaf() {
            return self.send_lost_start_answer(order.run);
        }
        self.send_answer(epoch, Payload::StartAnswer(order.run, outcome, Some(clock)));
    }

    pub(super) fn execute_start(&mut self, order: &StartOrder) -> StartOutcome {
        let Some(worker) = self.workers.get_mut(&order.to.life.id) else {
            tracing::debug!(
                now = self.now,
                task = %order.task,
                number = order.number,
                to = %order.to.life,
                "start finds no worker"
            );
            return if self.is_down(&order.to.life.id) {
                StartOutcome::Refused(Refusal::NotSent)
            } else {
                StartOutcome::Refused(Refusal::Gone)
            };
        };
        let (outcome, clock) = worker.start(order, self.now);
        let present = self.entries.iter().map(|entry| &entry.life);
        let present = present.into_iter().find(|life| life.id == order.to.life.id);
        tracing::debug!(
            now = self.now,
            task = %order.task,
            number = order.number,
            to = %order.to.life,
            by = present.map(tracing::field::display),
            was_polled = present.is_some_and(|life| self.polled_lives.contains(life)),
            clock,
            ?outcome,
            "start arrives"
        );
        let is_meant = self.entries.iter().any(|entry| entry.life == order.to.life);
        if outcome == StartOutcome::Started && is_meant {
            // Everything that runs there counts, including starts meant for a former life.
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
        if outcome == StartOutcome::Started && &*order.text == CRASHING_TASK {
            self.crash_worker(order);
            return StartOutcome::Unanswered;
        }
        outcome
    }

    pub(super) fn send_stop(&mut self, order: StopOrder) {
        self.add_history(format!(
            "{}:{} stops on {}",
            order.task, order.number, order.to.life
        ));
        tracing::debug!(
            now = self.now, task = %order.task, number = order.number, to = %order.to.life,
            "stop is sent"
        );
        if self.is_disconnected(&order.to.life.id) {
            return;
        }
        if self.chance(10) {
            let at = self.now + self.rng.random_range(0..MAX_ORDER_DELAY);
            self.delayed_orders.push((at, DelayedOrder::Stop(order)));
            return;
        }
        let at = self.now + self.draw_message_delay();
        self.send(at, Payload::Stop(order));
    }

    pub(super) fn stop_arrives(&mut self, epoch: u64, order: StopOrder) {
        let Some(worker) = self.workers.get_mut(&order.to.life.id) else {
            return;
        };
        if let (Ok(()), Some(run)) = (worker.stop(&order, self.now), order.run)
            && !self.is_deaf()
        {
            self.send_answer(epoch, Payload::StopAnswer(order.to.worker, run));
        }
    }
}
