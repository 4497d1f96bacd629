//! Time limits, weights and bounds of the scheduling core, each with the reason for its value.

use crate::clock::Millis;

/// The lease of a worker's runs.  Work on a lost worker is started again after this time, and each
/// renewal costs a poll.  3.5 s outlasts two lost polls of a second each.
pub const LEASE: Millis = 3_500;
/// The longest lease that a worker accepts, fixed by the platform.
pub const MAX_LEASE: Millis = 10_000;
/// An order without an answer is carried out within this time or never, fixed by the platform.
pub const MAX_ORDER_DELAY: Millis = 12_000;
/// The distance between the epochs of two successive owners.  Each further life of a worker under
/// one owner uses one of the epochs in between.  A worker that restarts more often than that gets
/// no work after each restart until no late order can reach it any more.  The value is small
/// because run numbers grow with it.
pub const LIVES_PER_EPOCH: u64 = 16;
/// The minimum time between two lives of a worker: ending a process and starting it again takes
/// some hundred milliseconds.  An owner's scheduling round and the recording of ends, which should
/// fit into this time, take about 40 ms.
pub const MIN_RESTART_TIME: Millis = 100;
/// How long after it is sent a start may take effect.  A start that arrives later must be void, so
/// this bounds how long the room for it is held.
pub const START_VALIDITY: Millis = 2_500;
/// A start that a worker has not carried out this long after it was sent is delayed on its way.
/// Equals the time for which its answer is awaited.
pub const START_ANSWER_WAIT: Millis = 250;
/// An answer to a poll that takes longer, beyond the time for which the worker holds it back, says
/// nothing of how the worker is now.
pub const MAX_ANSWER_AGE: Millis = 250;
/// The most by which a worker's clock may run slow, in thousandths, fixed by the platform.
pub const MAX_CLOCK_DRIFT_PERMILLE: Millis = 21;
/// How long by our clock a lease may last that is given now.
pub const LEASE_WINDOW: Millis = LEASE + LEASE * MAX_CLOCK_DRIFT_PERMILLE / 1_000;
/// Added to a lease, since readings of a worker's clock may be a few seconds old.
pub const LEASE_MARGIN: Millis = 200;
/// A worker that has not answered for this time gets no new tasks: two polls of a second each.
pub const STALE_AFTER: Millis = 2_500;
/// How long a worker holds a poll open for a run to end.  If the answer is lost, news of ends is
/// delayed by slightly more than this, and urgent jobs have 0.9 s to spare.
pub const POLL_WAIT: Millis = 600;
/// The most polls without news per second, over all workers: each takes some 110 us of the owner's
/// processor time, and an owner has half a core.  Up to 350 workers stay below this limit.
pub const MAX_IDLE_POLLS_PER_SECOND: Millis = 750;
/// The upper bound of the poll wait, which grows with the number of workers: after a lost poll the
/// next one must still arrive before the lease of 3.5 s ends.
pub const MAX_POLL_WAIT: Millis = 1_500;
/// How many idle workers of a service stay awake as a reserve, at a cost of some 400 polls per
/// second.  All others are parked.
pub const IDLE_RESERVE: usize = 600;
/// The interval at which workers are parked or unparked to keep the reserve.
pub const PARKING_INTERVAL: Millis = 500;
/// A worker is not parked again within this time of being unparked.
pub const MIN_AWAKE_TIME: Millis = 10_000;
/// An unparked worker has answered and is recorded in the roster within this time, or it has a
/// fault.
pub const WAKE_TIMEOUT: Millis = 1_000;
/// The most workers that are being woken at a time for waiting steps.
pub const MAX_WAKING: usize = 128;
/// The shortest time between two wake-ups by the same step.  Workers woken by the first are in use
/// by the second.
pub const WAKE_INTERVAL: Millis = 200;
/// The fewest workers that a step wakes at a time, since some of them may not be approved for it.
pub const MIN_WAKE_BATCH: usize = 16;
/// The most ends that a worker lists in one answer, fixed by the platform.
pub const MAX_ENDS_LISTED: usize = 500;
/// How long after an unanswered or unconfirmed stop it is sent again.
pub const STOP_RETRY: Millis = 300;
/// How many times the pause between two such stops doubles while nothing is heard of the worker: up
/// to 2.4 s.
pub const MAX_STOP_DOUBLINGS: u32 = 3;
/// The estimated time from a stop to the news of the run's end: the platform's bounds lie between
/// 200 and 900 ms, and most stops are quicker.
pub const TYPICAL_STOP_TIME: Millis = 300;
/// A run that is still listed this long after a confirmed stop has not been stopped: the platform's
/// longest bound is 900 ms.
pub const MAX_STOP_TIME: Millis = 1_000;
/// A ticket is not used when it expires within this time: a start takes a few milliseconds, a stall
/// of the owner some tens.
pub const TICKET_MARGIN: Millis = 150;
/// The share of workers assumed to be approved for a step before any answer was received.
pub const INITIAL_APPROVED_SHARE: f64 = 0.5;
/// The weight of one answer in the moving average of the share of approved workers.
pub const APPROVED_SHARE_WEIGHT: f64 = 0.1;
/// A question names workers whose expected room is this many times the room that is needed.
pub const ADVICE_SURPLUS: f64 = 1.3;
/// The most workers in one question.  The platform accepts 100.
pub const MAX_ADVICE_WORKERS: usize = 48;
/// The shortest time between two questions about a step.  Twice the fixed part of an answer's time
/// is used instead if that is less.
pub const ADVICE_INTERVAL: Millis = 250;
/// A question names more workers than needed as long as they lengthen the answer by no more than
/// this share of its fixed part, since a second question costs the fixed part again.
pub const ADVICE_EXTRA_TIME_SHARE: f64 = 0.5;
/// A question also names workers that are expected to have room within this time after the answer.
/// Run times are estimates, and a ticket that comes late costs as much as one that expires unused.
pub const ADVICE_LOOKAHEAD: Millis = 300;
/// The most steps that reserve room in one scheduling round.  This bounds the work of a round when
/// hundreds of steps wait; the steps behind these find little room anyway.
pub const MAX_RESERVING_STEPS: usize = 32;
/// The most waiting steps for which one scheduling round looks for places.
pub const MAX_STEPS_PER_ROUND: usize = 4_096;
/// How long a step is skipped after no workers to ask about were found for it, because the search
/// examines every worker.  Urgent jobs have 0.9 s to spare.
pub const ADVICE_SEARCH_INTERVAL: Millis = 20;
/// A question names the best of this many workers that have room and about which nothing is known
/// for the step.  Choosing among all workers of a large cell costs an examination of each and would
/// send all steps to the same workers.
pub const ADVICE_CANDIDATES: usize = 2 * MAX_ADVICE_WORKERS;
/// The most steps per scheduling round for which workers to ask about are searched, so that a
/// backlog of hundreds of steps cannot delay the round.
pub const MAX_ADVICE_SEARCHES: usize = 16;
/// A step that has been kept from asking for this time may ask all the same.  A task that needs a
/// whole worker finds room only where it has reserved it, and a reservation needs a ticket.  Batch
/// jobs are allowed about this much time beyond their critical path.
pub const MAX_ADVICE_DELAY: Millis = 5_000;
/// The shortest time between two questions of steps that have been kept from asking for
/// [`MAX_ADVICE_DELAY`].  At 0.8 s per question they take less than two lanes.
pub const OVERDUE_QUESTION_INTERVAL: Millis = 500;
/// A step with nothing running, for which room is free, is asked about in turn once it has gone
/// without a question for this time.  The platform wants a job to have something running within 3 s.
pub const MAX_UNASKED: Millis = 1_000;
/// One in this many lanes that a long question may use is given to questions in turn while steps are
/// due for one.  The others keep to the order of decisions.
pub const LANES_PER_TURN_LANE: usize = 4;
/// The most steps per scheduling round for which room is sought before they are asked about in turn.
/// It bounds the work of a round.
pub const MAX_TURN_SEARCHES: usize = 16;
/// Questions that are expected to take longer than this leave one lane free for short ones.
pub const LONG_ADVICE: Millis = 150;
/// The most cancellations of unknown jobs that an owner keeps, each for five minutes: 33 a second.  A
/// successor reads a row of 100 bytes for each.
pub const MAX_UNKNOWN_CANCELS: usize = 10_000;
/// A cancellation of an unknown job that is younger than this is not recorded again when it is
/// repeated, so each holds for four minutes at least.
pub const CANCEL_RENEWAL: Millis = 60_000;
/// A worker is shunned after this many failures in a row that count against it.
pub const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// How long nothing is placed on a shunned worker.
pub const SHUN_TIME: Millis = 4_000;
/// A lasting task whose run has lasted this long has not failed because of its start.
pub const MIN_SOUND_RUN: Millis = 2_000;
/// How long a lasting task waits after it has failed twice in a row soon after its start.
pub const FIRST_FAILURE_PAUSE: Millis = 200;
/// The longest such wait.  The platform wants a job to have something running within 3 s.
pub const MAX_FAILURE_PAUSE: Millis = 1_500;
/// How long nothing is placed on a worker that reports itself as unhealthy or out of room.
pub const UNHEALTHY_PAUSE: Millis = 500;
/// How long a task waits after a worker did not recognise its start.  This limits such refusals to
/// one per second.
pub const UNKNOWN_TASK_PAUSE: Millis = 1_000;
/// The shortest observation from which the rate of a run is derived: most of the run time of an
/// urgent task, and long enough for a long task to do some hundredths of its work.
pub const MIN_WATCH_TIME: Millis = 400;
/// A run below this share of its expected rate is slow.  Tasks of one step differ by a factor of
/// three, sick workers by five or more.
pub const SLOW_RATE_SHARE: f64 = 0.2;
/// After this many slow runs a task is left to run.  Two sick workers in a row are rare where one
/// in seven is sick, and a third start costs more than it gains.
pub const MAX_SLOW_RUNS: u32 = 2;
/// The number of runs of a queue after which the error of its estimates is used; a queue of urgent
/// jobs reaches it within some seconds.
pub const MIN_ESTIMATE_SAMPLES: u32 = 20;
/// The factor by which the worst estimate error decays with each run, so that one sick worker is
/// forgotten after some hundred runs.
pub const ESTIMATE_ERROR_DECAY: f64 = 0.995;
/// A run's time is taken as at most this many times its estimate and at least the reciprocal, so
/// that a single run with a useless estimate does not decide how fast its worker is.
pub const MAX_RUN_TIME_RATIO: f64 = 8.0;
/// A run gives no sample if its time may be wrong by more than this share of it, because its begin
/// or its end became known late.  The dead band tolerates an error of a quarter.
pub const MAX_RUN_TIME_ERROR: f64 = 0.25;
/// Errors of run times up to this do not count: after each end, a worker is polled again only once
/// the end is recorded, which takes some 20 ms.
pub const USUAL_RUN_TIME_ERROR: Millis = 100;
/// Runs are compared with one another if at least this many have ended, else with those of their
/// queue.  The mean of three scatters by about a third.
pub const MIN_COMPARED_RUNS: usize = 3;
/// The runs of a step are compared once this many more have ended, or all of its tasks are done.
/// Short runs end first, so comparing fewer makes workers look more alike.
pub const MAX_WAITING_RUN_TIMES: usize = 32;
/// The speed of a worker is a mean over about this many of its runs: a worker that becomes slow is
/// recognized after some ten.
pub const WORKER_SPEED_RUNS: u32 = 32;
/// The speed of a class is a mean over about this many runs.  Run times scatter by a half, and such a
/// mean by 3%.
pub const CLASS_SPEED_RUNS: u32 = 256;
/// The usual run time of a queue is a mean over about this many runs, half as many as the speed of
/// a worker.  When estimates become worse, it must follow before the workers look slow: those that
/// only this queue uses would not stop looking slow.
pub const QUEUE_TIME_RUNS: u32 = 16;
/// The speed of a class is used once it has this many runs.  Run times scatter by a half and the
/// mean of 16 by an eighth, which is half of the dead band.
pub const MIN_CLASS_RUNS: u32 = 16;
/// The times of a worker's runs are corrected by its own mean once it has this many runs: that
/// scatters by a fifth.
pub const MIN_OWN_RUNS: u32 = 8;
/// A worker's own speed has the same weight as that of its class after this many runs: their mean
/// scatters by a fifth, which is less than the dead band.
pub const CLASS_WEIGHT_RUNS: f64 = 8.0;
/// A slowdown within this factor of the typical one counts as 1.0.  A job that may take 1.5 times
/// its critical path tolerates it, and the mean of eight runs scatters by a fifth.
pub const SPEED_DEAD_BAND: f64 = 1.3;
/// Where labels do not distinguish fast workers from slow ones, the slowdown that one in this many
/// workers exceeds decides whether a step prefers fast workers.  Fewer slow workers do not count,
/// since failing ones are avoided by other means.
pub const WORKERS_PER_SLOW_ONE: usize = 10;
/// Slowdowns within about this factor of each other count as equal for placement.
pub const EQUAL_SPEEDS: f64 = 1.1;
/// The time of a task may exceed its expected time by this factor: tasks of one step differ from
/// their estimate by a half and more.
pub const TASK_TIME_SPREAD: f64 = 2.0;
/// The shortest time between two computations of all slowdowns, each a pass over all workers.  The
/// means change little in this time.
pub const SPEED_INTERVAL: Millis = 100;
/// The cost of a new start beyond the work itself: a stop, advice and an order.
pub const RESTART_COST: Millis = 300;
/// How long a run that was started from a checkpoint may show no progress: the platform restores
/// within 600 ms.
pub const RESTORE_TIME: Millis = 700;
/// A run that is not expected to end at least this long before its worker leaves is moved.
pub const LEAVE_MARGIN: Millis = 400;
/// A worker that the platform has not listed for this time counts as gone.  Entries that expired
/// while the store was unavailable are back within two seconds of its return.
pub const GONE_AFTER: Millis = 2_500;
/// The minimum time between two questions to witnesses about one worker: a witness takes about as
/// long to find that a worker does not answer.
pub const SILENCE_QUESTION_INTERVAL: Millis = 500;
/// The most workers that one question to a witness names.
pub const MAX_SILENCE_QUESTIONS: usize = 64;
/// The most workers that a question names besides, to show that the witness can hear.
pub const MAX_CONTROL_WORKERS: usize = 2;
/// A worker that this owner has heard within this time shows by its answer that a witness can hear.
pub const CONTROL_HEARD_WITHIN: Millis = 1_000;
/// A worker that has been silent for this time is recorded with the jobs that it may still run.
/// A lost answer is followed by another poll after 20 ms, and each record is a write of 15 KB.
pub const NAME_JOBS_AFTER: Millis = 150;
/// The most starts in flight; a gang may exceed it.  A start takes 5 ms while the owner has time, so
/// this many allow 12,000 a second.
pub const MAX_START_WINDOW: f64 = 64.0;
/// The most starts in flight as an ownership begins: what the link carries is not known yet.  It takes
/// eight round trips, some 40 ms, until the window is at its largest.
pub const FIRST_START_WINDOW: f64 = 32.0;
/// The fewest starts that may be in flight: 32 a second if each takes 250 ms.
pub const MIN_START_WINDOW: f64 = 8.0;
/// By how many starts the window grows in a round trip in which all answers are quick.
pub const START_WINDOW_STEP: f64 = 4.0;
/// A start that takes no more than this beyond the lowest time of late is quick: rounds of the owner
/// and waits for its processor take up to this time.
pub const QUICK_START_DELAY: Millis = 40;
/// A start that takes more than this beyond the lowest time of late shows that our link or processor
/// is behind: half of the time for which an answer is awaited.
pub const SLOW_START_DELAY: Millis = 120;
/// A start is overtaken if one that was sent this much later was answered before it.
pub const START_OVERTAKEN_AFTER: Millis = 50;
/// Half of the time for which the lowest time of a start counts.
pub const LOWEST_TIME_PERIOD: Millis = 10_000;
/// The most starts that wait for their records, in windows of starts.  Each costs a part of a row, and
/// its placement is out of date by the time that a link or store that is behind has carried it.
pub const PLANNED_START_WINDOWS: usize = 2;
/// One in this many rounds of an owner that holds starts back begins with the jobs that are late
/// already, so that they end as well.
pub const LATE_ROUNDS: u32 = 4;
/// An owner that has held starts back within this time is the limit of its cell.
pub const HELD_BACK_FOR: Millis = 1_000;
/// The longest time between two rounds in which starts are counted: rounds come ten times a second.
pub const MAX_COUNTED_ROUND: Millis = 500;
/// For how long starts are counted, while others are held back, to tell how many the owner carries.
pub const START_RATE_PERIOD: Millis = 1_000;
/// The run numbers of an owner start at its epoch times this value, above those of all
/// predecessors.
pub const RUNS_PER_EPOCH: u64 = 1_000_000;
/// An owner gives no orders later than this after its ownership was last confirmed.  A successor
/// waits this long, beyond the lease, for workers that it cannot reach.
pub const OWNER_STOP_TIME: Millis = 2_000;
/// Runs that may have crashed a worker are noted once it has been silent for this time.  A worker
/// that lives is polled again 20 ms after a lost answer, and an owner that is lost before it has
/// noted them takes that knowledge with it.
pub const SUSPECT_AFTER: Millis = 50;
/// A run that was seen running this long after its start is not blamed if its worker crashes:
/// tasks that crash their workers do so within 50 ms, and polls come every 600 ms.
pub const PROVEN_AFTER: Millis = 500;
/// A task's former losses no longer count once it has run this long without a crash: twice the time
/// that the longest common tasks take.
pub const LOSSES_EXPIRE_AFTER: Millis = 10_000;
/// How long to wait for another life of a machine, which proves a crash.  Workers are back some
/// seconds after a crash, and their entries expire after 4.5 s.
pub const CRASH_VERDICT_TIMEOUT: Millis = 15_000;
/// A task is given up after this many crashes in which it alone was just being started, if
/// something shows that the workers lived to begin it.  Fixed by the platform.
pub const MAX_CONFIRMED_SOLE_CRASHES: usize = 2;
/// The same limit for crashes in which nothing shows that the workers lived to begin the task.
/// A worker that is cut off, and crashes meanwhile for another reason, also leaves a start without
/// an answer.
pub const MAX_SOLE_CRASHES: usize = 3;
/// A task is given up after this many crashes in a row of workers on which it ran, however long it
/// had run.  One less than the platform's limit of five starts, to allow for one start that is lost
/// with its owner.
pub const MAX_CRASHES: usize = 4;
/// Barred starts count towards [`MAX_CRASHES`] only beside this many crashes.  An innocent task may
/// lose many orders, also to workers that all restart, and be beside a crash or two.
pub const MIN_CRASHES_BESIDE_BARRED: usize = 3;
/// The most starts of a task that crashes its workers.  Fixed by the platform.
pub const MAX_STARTS: usize = 5;
/// A task is also given up after this many crashes that implicate it if these and its counted
/// barred starts make [`MAX_STARTS`]: all of them may have been carried out.  After one such crash
/// the task goes on, since workers may restart for another reason while its orders get lost.
pub const MIN_IMPLICATING_CRASHES: usize = 2;
/// The most tasks in the occurrences of a job that are in progress at a time, unless it is one
/// occurrence.  Each step of them is examined in each round.
pub const MAX_TASKS_IN_PROGRESS: u64 = 512;
/// While there are this many steps with open tasks, each scheduled job has only one occurrence in
/// progress, so that the memory of thousands of jobs that are behind is limited.
pub const MAX_OPEN_STEPS: usize = 20_000;
/// The most tasks of a job that were started and are not done, as many as a step can have.  Each may
/// cause a gap in the ranges of done tasks; the ranges of 640,000 tasks with this many gaps take
/// less than 35 KB of the job's record.
pub const MAX_UNFINISHED_STARTS: u32 = 10_000;
/// The most bytes of a job's record for its tasks; the store accepts rows of up to 64 KB.
pub const MAX_RECORD_BYTES: usize = 60_000;
/// The most starts of one job that wait to be recorded at a time: each takes some 170 bytes of the
/// job's row, and the store accepts rows of up to 64 KB.
pub const MAX_PLANNED_STARTS: usize = 64;
/// The most starts of one job that are recorded as planned at a time, whether sent or not.  Together
/// with [`MAX_BARRED_STARTS`] they take less than 45 KB of the job's row.
pub const MAX_UNPROVEN_PLANNED_STARTS: usize = 128;
/// The most barred starts of one job that are kept.
pub const MAX_BARRED_STARTS: usize = 128;
/// How long a start waits for its record that is recorded only because another start of its task
/// may arrive late.  Urgent jobs have 0.9 s to spare, and while the store takes no record no other
/// node can claim the cell.
pub const MAX_LATE_START_RECORD_WAIT: Millis = 300;
/// A start that was answered this long ago has not crashed its worker.  This is ten times the time
/// in which a crash showed, and short enough that a busy worker has such moments.
pub const START_SETTLED_AFTER: Millis = 100;
/// A start that was answered within this time before its worker fell silent may have crashed it:
/// such crashes showed 10 to 41 ms after the start was ordered.  A trial also begins only on a
/// worker that was heard within this time: its next poll is near, and a trial whose outcome proves
/// nothing costs one more crash.
pub const FRESH_START_AGE: Millis = 50;
/// A start without an answer is assumed to have begun if its worker was heard within this time
/// before: ten times what an answer takes.  With 50 ms, 5 of 8,000 random runs gave up a job after
/// one crash; with 20 ms, one did.
pub const RECENTLY_HEARD: Millis = 20;
/// One in this many workers may hold a suspect task at a time, each for some 0.6 s.  Tasks that
/// merely ran beside the culprit wait for their turn.
pub const WORKERS_PER_TRIAL: usize = 2;

/// The remaining work, in core-milliseconds, that moves a job back by one millisecond among jobs of
/// its priority.  Short jobs that need little room go before jobs that are only slightly more
/// urgent.
pub const WORK_PER_RANK_MS: u64 = 100;
/// The most by which a job is moved back for its work, so that a large job does not wait forever.
pub const MAX_WORK_PENALTY: Millis = 60_000;

/// Contention counts as over after this time without any.  A full cell is often contended in one
/// round and not in the next, and each change would be logged.
pub const CONTENTION_END_DELAY: Millis = 1_000;

/// Returns the epoch of the owner that succeeds an owner with `epoch`.
///
/// Epochs of owners that ran a former version may follow one another without room for lives.
pub const fn next_epoch(epoch: u64) -> u64 {
    (epoch / LIVES_PER_EPOCH + 1) * LIVES_PER_EPOCH
}
