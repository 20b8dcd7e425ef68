/*
 * One idempotency key, two instances, three copies of a submission, and the
 * key-value service. An instance claims the key for its own session; the
 * service keeps the first claim. Each owner of a session accepts a key at most
 * once, or refuses it permanently.
 */
#define INSTANCES 2
#define TRIES 2 /* calls to the service for one claim */
#define RESTARTS 1
#define NOBODY 0

/* The service: the instance with the claim, and the nonce of its write. */
byte holder;
byte holder_nonce;
bool platform_out;
byte outages;

/* State of the key at each incarnation (1..INSTANCES) as an owner. */
mtype = { FRESH, ACCEPTED, CLOSED, GONE };
mtype known[INSTANCES + 1] = FRESH;
byte restarts;

/* Observed by the assertions only. */
byte starts;
bool told_not_run;

/* P4: "not run" holds for all copies of the key, now and later. */
inline say_not_run() {
  assert(starts == 0);
  told_not_run = true
}

inline start_at(owner) {
  known[owner] = ACCEPTED;
  starts++;
  /* P1: at most one start for a key. */
  assert(starts <= 1);
  assert(!told_not_run)
}

/* Only the owner that the claim names starts a job for the key. */
inline submit_to(owner) {
  if
  :: known[owner] == FRESH -> start_at(owner)
  :: known[owner] == FRESH -> known[owner] = CLOSED; say_not_run()
  :: known[owner] == ACCEPTED /* the same job */
  :: known[owner] == CLOSED -> say_not_run()
  :: known[owner] == GONE /* failed as lost, finally; it may have run */
#ifdef CLAIM_OF_A_LOST_OWNER_IS_TAKEN_OVER
     ; holder = me;
     start_at(me)
#endif
  :: true /* the owner is unreachable: retry */
  fi
}

/* Create if absent; the nonce identifies the write when it is read back. */
inline write_claim() {
  if
  :: holder == NOBODY -> holder = me; holder_nonce = nonce
  :: else
  fi
}

inline call_service() {
  if
  :: platform_out -> skip
  :: !platform_out -> write_claim(); heard = true
  :: !platform_out -> write_claim() /* the response is lost */
  fi
}

/* The answer of an instance that could not write a claim. */
inline doubt() {
#ifdef UNCLAIMED_IS_NOT_RUN
  say_not_run()
#else
  skip /* may have run: another instance may have claimed a copy */
#endif
}

proctype copy(byte me) {
  byte nonce = _pid;
  byte tries;
  byte owner;
  bool heard;
#ifdef OWN_SESSION_WITHOUT_CLAIM
  atomic { submit_to(me); goto done }
#endif
  do
  :: atomic { tries < TRIES && !heard ->
     tries++;
     call_service() }
  :: atomic { heard ->
#ifdef LOST_ANSWER_IS_NOT_CLAIMED
     /* Doesn't recognize its own claim of an earlier call. */
     if
     :: tries > 1 && holder_nonce == nonce ->
        owner = NOBODY
     :: else -> owner = holder
     fi;
#else
     owner = holder;
#endif
     break }
  :: atomic { tries == TRIES && !heard -> doubt(); goto done }
  :: atomic { !heard ->
     /* This instance is leaving, or has its maximum of sessions. */
#ifdef LEAVING_IS_NOT_RUN
     say_not_run();
#endif
     goto done }
  od;
#ifdef LOST_ANSWER_IS_NOT_CLAIMED
  if
  :: atomic { owner == NOBODY -> owner = me; start_at(me); goto done }
  :: else
  fi;
#endif
  atomic { submit_to(owner) }
done:
  atomic {
    tries = 0;
    owner = 0;
    heard = false;
    nonce = 0
  }
}

active proctype environment() {
end:
  do
  :: atomic { !platform_out && outages < 1 -> platform_out = true; outages++ }
  :: platform_out -> platform_out = false
  /* The owner restarts: its old sessions are lost. */
  :: atomic { restarts < RESTARTS && known[1] != GONE ->
     known[1] = GONE;
     restarts++ }
  od
}

init {
  atomic {
    run copy(1);
    run copy(2);
    run copy(2)
  }
}
