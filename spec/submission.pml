/*
 * One submission of TASKS tasks: attempts, copies, refusals, starts, replies,
 * cancellation, a crash of the owner, and a planned stop with a successor.
 * Invariants are assertions, named after the guarantees P1 to P8. A flag removes
 * each mechanism; an assertion must then fail.
 */
#define ATTEMPTS 2
#define TASKS 2
#define COPIES 4 /* maximum of submissions in flight */
#define RESENDS 1 /* copies beyond the first of each attempt */

mtype = { NOT_RUN, MAY_HAVE_RUN, COMPLETE, FAILED }; /* answers */
mtype = { WAITING, SENT, DONE, LOST, DROPPED }; /* states of a task */
mtype = { RESULT, BUSY, GOING }; /* replies of the server */

chan submissions = [COPIES] of { byte };
chan answers = [COPIES] of { mtype, byte };
chan starts = [TASKS] of { byte, byte };
chan replies = [TASKS] of { byte, mtype };

/* Observed by the assertions only. */
byte started[TASKS];
bool ran[ATTEMPTS + 1];
bool told_not_run[ATTEMPTS + 1];

/* The owner. */
byte accepted;
byte closed;
mtype task[TASKS] = DROPPED;
bool owner_alive = true;
bool owner_leaving;
bool owner_left;
/* What the owner handed over to its successor. */
bool successor_has_answer;
mtype successor_answer;
byte successor_closed;
byte successor_attempt;

/* The server, and whether its holders know that it is leaving. */
bool server_leaving;
bool holders_know;

#ifdef GRANTS_IGNORE_LEAVING
#define may_grant true
#else
#define may_grant (!holders_know)
#endif
#ifdef STOP_DOES_NOT_WAIT
#define may_stop true
#else
#define may_stop (!open_job)
#endif
#define open_task(t) (task[t] == WAITING || task[t] == SENT)
#define open_job (accepted != 0 && (open_task(0) || open_task(1)))
#define all_done (task[0] == DONE && task[1] == DONE)
#define none_sent (task[0] == DROPPED && task[1] == DROPPED)

inline answer(kind, attempt) {
  if
  :: len(answers) < COPIES -> answers!kind, attempt
  :: true -> skip /* lost */
  fi
}

/* P4: a refusal that says "not run" is true, now and later. */
inline say_not_run(attempt) {
  assert(!ran[attempt]);
  told_not_run[attempt] = true;
  answer(NOT_RUN, attempt)
}

/* P2: an answer is complete or failed, never partial. */
inline say_ended(attempt) {
  if
#ifdef PARTIAL_IS_COMPLETE
  :: task[0] == DONE || task[1] == DONE ->
#else
  :: all_done ->
#endif
     assert(all_done);
     answer(COMPLETE, attempt)
  :: !all_done && none_sent -> say_not_run(attempt)
  :: !all_done && !none_sent -> answer(FAILED, attempt)
  fi
}

inline accept(attempt) {
  accepted = attempt;
  task[0] = WAITING;
  task[1] = WAITING
}

inline refuse(attempt) {
#ifndef REFUSAL_LEAVES_OPEN
  closed = attempt;
#endif
  say_not_run(attempt)
}

inline submit(attempt) {
  if
#ifdef RESUBMISSION_IS_NEW
  :: accepted != 0 && !open_job -> accept(attempt)
#endif
  :: accepted != 0 && open_job -> skip /* it is answered when the job ends */
  :: accepted != 0 && !open_job && none_sent && attempt > accepted ->
     closed = accepted;
     accept(attempt)
  :: accepted != 0 && !open_job && !(none_sent && attempt > accepted) ->
     say_ended(accepted)
  :: accepted == 0 && attempt <= closed -> say_not_run(attempt)
  :: accepted == 0 && attempt > closed && owner_leaving -> refuse(attempt)
  :: accepted == 0 && attempt > closed && !owner_leaving ->
     if
     :: accept(attempt)
     :: refuse(attempt)
     fi
  fi
}

/* An instance that is not the owner, while the owner is unreachable. */
inline submit_elsewhere(attempt) {
  if
  :: owner_left && successor_has_answer -> answer(successor_answer, successor_attempt)
  :: owner_left && !successor_has_answer && attempt <= successor_closed ->
     say_not_run(attempt)
  :: else ->
#ifdef OTHERS_TAKE_OVER
     owner_alive = true;
     accept(attempt)
#else
#ifdef OTHERS_SAY_NOT_RUN
     say_not_run(attempt)
#else
     answer(MAY_HAVE_RUN, attempt)
#endif
#endif
  fi
}

active proctype client() {
  byte attempt = 1;
  byte resent;
  byte about;
  submissions!attempt;
  do
  :: resent < RESENDS && len(submissions) < COPIES ->
     resent++;
     submissions!attempt /* through another instance; no answer came */
  :: answers??NOT_RUN, about ->
     if
     :: about == attempt && attempt < ATTEMPTS && len(submissions) < COPIES ->
        atomic {
          attempt++;
          resent = 0;
          submissions!attempt
        }
     :: true -> skip /* gives up */
     fi
  :: answers??MAY_HAVE_RUN, about
  :: answers??FAILED, about -> break
  :: answers??COMPLETE, about -> break
  :: timeout -> break
  od
}

active proctype network() {
  byte attempt;
  byte doubled;
end:
  do
  :: atomic { submissions??attempt ->
     if
     :: owner_alive -> submit(attempt)
     :: !owner_alive -> submit_elsewhere(attempt)
     :: true -> answer(MAY_HAVE_RUN, attempt) /* the owner is unreachable */
#ifdef OTHERS_SAY_NOT_RUN
     :: owner_alive -> say_not_run(attempt)
#endif
     fi }
  /* One copy is duplicated, and arrives twice. */
  :: atomic { doubled < 1 && owner_alive && len(submissions) > 0 ->
     doubled++;
     submissions??<attempt>;
     submit(attempt) }
  od
}

inline start(t) {
  /* P6: a server that is known to be leaving receives no new work. */
  assert(!holders_know);
  starts!t, accepted;
  task[t] = SENT
}

inline hear(t, kind) {
  if
  :: task[t] == SENT && kind == RESULT -> task[t] = DONE
  :: task[t] == SENT && kind != RESULT -> task[t] = WAITING /* proven not to have started */
  fi
}

active proctype owner() {
  byte t;
  mtype kind;
end:
  do
  :: atomic { owner_alive && len(starts) < TASKS && may_grant && task[0] == WAITING ->
     start(0) }
  :: atomic { owner_alive && len(starts) < TASKS && may_grant && task[1] == WAITING ->
     start(1) }
  :: atomic { replies??t, kind ->
     if
     :: owner_alive && task[t] == SENT ->
        hear(t, kind);
        if
        :: !open_job -> say_ended(accepted)
        :: else
        fi
     :: else /* late, duplicated, or the owner has ended */
     fi }
  /* The reply is lost, or late: the outcome is unknown. */
  :: atomic { owner_alive && task[0] == SENT ->
#ifdef UNKNOWN_IS_RETRIED
     task[0] = WAITING
#else
     task[0] = LOST;
     if
     :: !open_job -> say_ended(accepted)
     :: else
     fi
#endif
     }
  /* Cancelled, or past its deadline. */
  :: atomic { owner_alive && open_job ->
     t = 0;
     do
     :: t < TASKS ->
        if
#ifdef CANCELLED_IS_NOT_RUN
        :: open_task(t) -> task[t] = DROPPED
#else
        :: task[t] == WAITING -> task[t] = DROPPED
        :: task[t] == SENT -> task[t] = LOST
#endif
        :: !open_task(t) -> skip
        fi;
        t++
     :: else -> break
     od;
     say_ended(accepted) }
#ifdef ALL_IS_HEDGED
  :: atomic { owner_alive && len(starts) < TASKS && task[0] == SENT ->
     starts!0, accepted }
#endif
  :: atomic { owner_alive && !owner_leaving -> owner_leaving = true }
  :: atomic { owner_alive && owner_leaving && may_stop ->
     /* P7: a planned stop aborts no request in flight. */
     assert(!open_job);
     successor_closed = closed;
#ifndef NOTHING_IS_HANDED_OVER
     if
     :: accepted != 0 ->
        successor_has_answer = true;
        successor_attempt = accepted;
        if
        :: all_done -> successor_answer = COMPLETE
        :: else -> successor_answer = FAILED
        fi
     :: else
     fi;
#endif
     /* P3: each caller receives its own complete answer, also after a stop. */
     assert(accepted == 0 || successor_has_answer);
     owner_left = true;
     owner_alive = false }
  :: atomic { owner_alive -> owner_alive = false } /* crashes */
  od
}

active proctype server() {
  byte t;
  byte attempt;
end:
  do
  :: atomic { starts??t, attempt ->
     if
     :: server_leaving && len(replies) < TASKS -> replies!t, GOING
     :: len(replies) < TASKS -> replies!t, BUSY
     :: !server_leaving ->
        started[t]++;
        /* P1 and P5: nothing starts twice. */
        assert(started[t] <= 1);
        assert(!told_not_run[attempt]);
        ran[attempt] = true;
        if
        :: len(replies) < TASKS -> replies!t, RESULT
        :: true -> skip /* the reply is lost */
        fi
     :: true -> skip /* the request is lost */
     fi }
  :: atomic { !server_leaving -> server_leaving = true }
  :: atomic { server_leaving && !holders_know -> holders_know = true }
  od
}
