/*
 * The settings tree: two concurrent operators with one edit each; a transaction
 * that compares and increments the revision; lost responses; instances that
 * follow the platform or each other. The content is the set of edits that it
 * contains, one bit for each.
 */
#define EDITS 2
#define LAST_REVISION 3
#define FOLLOWERS 3
#define CALLS 2

byte revision;
byte content[LAST_REVISION + 1]; /* by revision */
byte edit_id[EDITS + 1]; /* revision that an edit created; 0 for none */
byte made[EDITS + 1]; /* number of times an edit was applied */
bool accepted[EDITS + 1]; /* its operator received the success response */
bool out;
bool was_out;

byte applied[FOLLOWERS]; /* revision that each follower applies */
chan offers = [2] of { byte, byte }; /* follower, revision */

#define bit(e) (1 << (e - 1))
#define has_edit(e) ((content[revision] & bit(e)) != 0)

/* P8: an edit that was accepted is never lost. */
inline check_accepted() {
  assert(!accepted[1] || has_edit(1));
  assert(!accepted[2] || has_edit(2))
}

inline commit(e, base) {
  revision++;
  content[revision] = content[base] | bit(e);
  edit_id[e] = revision;
  made[e]++;
  /* P8: an edit whose response was lost is applied once. */
  assert(made[e] <= 1);
  check_accepted()
}

inline say_accepted(e) {
  accepted[e] = true;
  check_accepted()
}

proctype operator(byte e) {
  byte base;
  byte calls;
  bool sent;
again:
  do
  :: atomic { !out && calls < CALLS ->
     /* Reads the tree and the record of the edit's own id together. */
     base = revision;
#ifndef RETRY_WITHOUT_EDIT_ID
     if
     :: edit_id[e] != 0 -> say_accepted(e); goto done
     :: else
     fi;
#endif
     break }
  :: calls == CALLS -> goto done
  od;
  atomic { calls++;
    if
    :: out -> goto again
#ifndef NOTHING_IS_COMPARED
    :: !out && revision != base ->
       if
#ifndef RETRY_WITHOUT_EDIT_ID
       :: edit_id[e] != 0 -> say_accepted(e); goto done
#endif
       :: edit_id[e] == 0 || sent -> goto again /* a conflict; reads again */
       fi
    :: !out && revision == base && revision < LAST_REVISION ->
#else
    :: !out && revision < LAST_REVISION ->
#endif
       commit(e, base);
       if
       :: say_accepted(e); goto done
       :: sent = true; goto again /* the response is lost */
       fi
    fi }
done:
  atomic {
    base = 0;
    calls = 0;
    sent = false
  }
}

/* P8: the applied revision never decreases. */
inline take(f, offered) {
#ifdef WHATEVER_COMES_IS_APPLIED
  if
  :: true ->
#else
  if
  :: offered <= applied[f]
  :: offered > applied[f] ->
#endif
     assert(offered >= applied[f]);
     applied[f] = offered
  fi
}

/* Each follower receives revisions from the platform's watch, from either peer
 * and from a duplicate of an old message. Follower 2 starts during the outage
 * and can only learn from its peers. */
proctype follower(byte f) {
  byte offered;
end:
  do
  :: atomic { f < 2 && !out && len(offers) < 2 && applied[f] < revision ->
     offers!f, revision }
  :: atomic { (f < 2 || was_out) && len(offers) < 2 &&
              applied[(f + 1) % FOLLOWERS] > applied[f] ->
     offers!f, applied[(f + 1) % FOLLOWERS] }
  :: atomic { (f < 2 || was_out) && len(offers) < 2 &&
              applied[(f + 2) % FOLLOWERS] > applied[f] ->
     offers!f, applied[(f + 2) % FOLLOWERS] }
  :: atomic { offers??eval(f), offered -> take(f, offered); offered = 0 }
  od
}

active proctype environment() {
  byte f;
  byte old;
  bool replayed;
end:
  do
  :: atomic { !out && !was_out -> out = true; was_out = true }
  :: out -> out = false
  /* A duplicate message with an old revision. */
  :: atomic { !replayed && len(offers) < 2 && applied[0] > 0 ->
     replayed = true;
     old = applied[0] - 1;
     if
     :: f = 0
     :: f = 1
     :: f = 2
     fi;
     offers!f, old;
     f = 0;
     old = 0 }
  od
}

init {
  atomic {
    run operator(1);
    run operator(2);
    run follower(0);
    run follower(1);
    run follower(2)
  }
}
