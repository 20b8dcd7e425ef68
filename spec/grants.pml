/*
 * One server with SLOTS slots and two instances that both act as its holder;
 * one owner with TASKS tasks, none of them repeatable. A holder grants the slots
 * that it considers free; the server enforces its own limit.
 */
#define TASKS 2
#define SLOTS 1
#define HOLDERS 2
#define MESSAGES 2
#define TRIES 2 /* bounds the model; the product has no such limit */

mtype = { WAITING, SENT, DONE, UNKNOWN };
mtype = { RESULT, BUSY, GOING };

chan grants = [MESSAGES] of { byte };
chan starts = [MESSAGES] of { byte };
chan replies = [MESSAGES] of { byte, mtype };

bool holder_alive[HOLDERS] = true;
byte granted[HOLDERS]; /* in the view of this holder */
mtype task[TASKS] = WAITING;
byte tries[TASKS];
byte used;
bool leaving;
bool died;
/* Observed by the assertions only. */
byte started[TASKS];

active [HOLDERS] proctype holder() {
end:
  do
  :: atomic { holder_alive[_pid] && granted[_pid] < SLOTS &&
              len(grants) < MESSAGES ->
     granted[_pid]++;
     grants!_pid }
  /* A grant ends: used, returned, or expired while a task runs on it. */
  :: atomic { holder_alive[_pid] && granted[_pid] > 0 -> granted[_pid]-- }
  :: atomic { holder_alive[_pid] -> holder_alive[_pid] = false }
  od
}

/* The owner, one process for each task: a start is sent only with a grant. */
active [TASKS] proctype placed() {
  byte from;
  byte t = _pid - HOLDERS;
end:
  do
  :: atomic { task[t] == WAITING && tries[t] < TRIES && len(starts) < MESSAGES &&
              len(grants) > 0 ->
     grants?from;
     task[t] = SENT;
     tries[t]++;
     starts!t }
  /* The reply is late or lost. */
  :: atomic { task[t] == SENT ->
#ifdef UNKNOWN_IS_PLACED_AGAIN
     task[t] = WAITING
#else
     task[t] = UNKNOWN
#endif
     }
  od
}

active proctype owner() {
  byte t;
  mtype kind;
end:
  do
  :: grants?_ /* it expired before it was used */
  :: atomic { replies?t, kind ->
     if
     :: task[t] == SENT && kind == RESULT -> task[t] = DONE
     /* P4 and P5: placed again only when the server proves it did not start. */
     :: task[t] == SENT && kind != RESULT ->
        assert(started[t] == 0);
        task[t] = WAITING
     :: else
     fi }
  od
}

active proctype server() {
  byte t;
end:
  do
  :: atomic { !died && len(replies) < MESSAGES && starts?[t] -> starts?t;
     if
     :: leaving -> replies!t, GOING
     :: !leaving && used >= SLOTS ->
#ifdef BUSY_IS_QUEUED
        started[t]++;
#endif
        replies!t, BUSY
     :: !leaving && used < SLOTS ->
        used++;
        started[t]++;
        /* P1 and P5: nothing starts twice. */
        assert(started[t] <= 1);
        /* The server never exceeds its own limit, with any number of holders. */
        assert(used <= SLOTS)
     fi }
  :: atomic { used > 0 ->
     used--;
     t = 0;
     do
     :: t < TASKS && started[t] > 0 && len(replies) < MESSAGES ->
        replies!t, RESULT;
        break
     :: t < TASKS -> t++
     :: else -> break
     od }
  :: atomic { !leaving -> leaving = true }
  :: atomic { !died -> died = true; used = 0 }
  od
}
