/*
 * One key that is submitted without an attempt number. Time advances in ticks.
 * A copy belongs to one try; a client begins the next try after Retry-After.
 * `seen` is the age of a copy as the owner computes it; `closed` is the number
 * of ticks for which the key stays closed.
 */
#define TRIES 2
#define COPIES 3
#define LIFE 2 /* age in ticks from which a copy is refused */
#define LAST_TICK 9
#ifdef RETRY_AFTER_IS_SHORT
#define CLOSED_FOR 1
#else
#define CLOSED_FOR LIFE
#endif

mtype = { UNSENT, RELAYED, SENT_ON, ENDED };

mtype place[COPIES] = UNSENT;
byte try_of[COPIES];
byte seen[COPIES];
bool frozen[COPIES]; /* the relaying instance is paused, and does not notice */
byte present = 1; /* current try of the client */
byte pause; /* ticks until the client may begin the next one */
byte clock;
byte closed;
bool has_job;
/* Observed by the assertions only. */
bool told_not_run[TRIES + 1];
bool ran[TRIES + 1];

inline age(i) {
  if
  :: place[i] == RELAYED || place[i] == SENT_ON ->
#ifdef STOPPED_RELAY_COUNTS_FROM_READING
     if
     :: !frozen[i] && seen[i] < LIFE -> seen[i]++
     :: else
     fi
#else
     if
     :: seen[i] < LIFE -> seen[i]++
     :: else
     fi
#endif
  :: else
  fi
}

/* P4: "not run" holds for the try, now and later. */
inline say_not_run(i) {
  assert(!ran[try_of[i]]);
  told_not_run[try_of[i]] = true;
#ifdef REFUSAL_WHILE_CLOSED_IS_FREE
  if
  :: closed == 0 -> closed = CLOSED_FOR
  :: else
  fi;
#else
  closed = CLOSED_FOR;
#endif
  if
  :: try_of[i] == present -> pause = closed
  :: else
  fi
}

#ifdef COPIES_HAVE_NO_AGE
#define is_stale(i) false
#else
#define is_stale(i) (seen[i] >= LIFE)
#endif

inline arrive(i) {
  place[i] = ENDED;
  if
  :: has_job /* the same job */
  :: !has_job && (closed > 0 || is_stale(i)) -> say_not_run(i)
  :: !has_job && closed == 0 && !is_stale(i) ->
     if
     :: say_not_run(i)
     :: has_job = true;
        /* P1 and P4: a try that was answered "not run" never starts. */
        assert(!told_not_run[try_of[i]]);
        ran[try_of[i]] = true
     fi
  fi
}

inline receive(i) {
  place[i] = RELAYED;
  try_of[i] = present
}

active proctype time() {
end:
  do
  :: atomic { clock < LAST_TICK ->
     clock++;
     age(0);
     age(1);
     age(2);
     if
     :: closed > 0 -> closed--
     :: else
     fi;
     if
     :: pause > 0 -> pause--
     :: else
     fi }
  od
}

/* Copies of a try are received before its first "not run" is sent. */
#ifdef COPIES_ARE_RECEIVED_AFTER_THE_ANSWER
#define may_receive true
#else
#define may_receive (!told_not_run[present])
#endif

active proctype client() {
end:
  do
  :: atomic { place[0] == UNSENT && may_receive -> receive(0) }
  :: atomic { place[1] == UNSENT && may_receive -> receive(1) }
  :: atomic { place[2] == UNSENT && may_receive -> receive(2) }
  :: atomic { told_not_run[present] && present < TRIES ->
     /* An impatient client does not wait for `pause`. */
     present++ }
  od
}

active [COPIES] proctype copy() {
end:
  do
  :: atomic { place[_pid - 2] == RELAYED && !frozen[_pid - 2] ->
     frozen[_pid - 2] = true }
  /* The relay drops a copy that it knows to be stale, without "not run". */
  :: atomic { place[_pid - 2] == RELAYED && is_stale(_pid - 2) ->
     place[_pid - 2] = ENDED }
  :: atomic { place[_pid - 2] == RELAYED && !is_stale(_pid - 2) ->
     frozen[_pid - 2] = false;
     place[_pid - 2] = SENT_ON }
  :: atomic { place[_pid - 2] == SENT_ON -> arrive(_pid - 2) }
  :: atomic { place[_pid - 2] == SENT_ON -> place[_pid - 2] = ENDED } /* lost */
  od
}
