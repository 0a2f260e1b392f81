// mutants: NO_LEADER_WAIT LEASE_FROM_RECEIPT NO_RECHECK APPLY_OLDER FORGET_LEASES
// compile: -DSAFETY -DCOLLAPSE
// pan: -E
// The preset in force under gate leases, pauses and a change of leader. Time
// is discrete; a lease lasts LEASE ticks, and a process that is not scheduled
// is paused. Gates do not affect each other, so one gate represents all.
// Checked:
// - once a revision is reported in force at all gates, no gate admits work
//   under an older one;
// - a gate never returns to an older revision.
#define LEASE 2
#define LAST 4

byte now = 0;
byte committed = 1;      // newest revision in the replicated log
byte in_force = 0;       // newest revision reported in force
byte leader = 0;         // 0 or 1; the leader lease excludes a second one
byte leader_since = 0;
bool changed = false;    // leadership has moved

// The leader's table; a new leader starts with an empty one.
byte expires;            // the leader's view: end of the lease
byte reported;

byte applied = 1;
byte lease_end;

active proctype gate() {
    byte sent_at;
    byte granted;
    byte previous;
    bool may_admit;
    do
    :: now < LAST ->
        // Renewal: sent, handled by the leader, received; each step may be
        // delayed.
        sent_at = now;
        d_step {
            granted = committed;
            expires = now + LEASE;
        };
        previous = applied;
        d_step {
#ifdef APPLY_OLDER
            applied = granted;
#else
            if
            :: granted > applied -> applied = granted
            :: else
            fi;
#endif
#ifdef LEASE_FROM_RECEIPT
            lease_end = now + LEASE;
#else
            lease_end = sent_at + LEASE;
#endif
        };
        assert(applied >= previous);
        d_step {
            if
            :: applied > reported && expires > 0 ->
                reported = applied
            :: else
            fi
        }
    :: now < LAST ->
        // Admission of one request.
        may_admit = (now < lease_end);
#ifndef NO_RECHECK
        // The check is the last step before the admission takes effect.
        d_step {
            may_admit = may_admit && (now < lease_end);
            if
            :: may_admit -> assert(applied >= in_force)
            :: else
            fi
        }
#else
        if
        :: may_admit -> assert(applied >= in_force)
        :: else
        fi
#endif
    :: now >= LAST -> break
    od
}

// A push reaches the gate independently of its renewals.
active proctype push() {
    byte pushed;
    pushed = committed;
    d_step {
        if
        :: pushed > applied -> applied = pushed
        :: else
        fi
    }
}

active proctype control() {
    do
    :: committed < 2 -> committed++
    :: !changed ->
        d_step {
            changed = true;
            leader = 1;
            leader_since = now;
            expires = 0;
            reported = 0
        }
    :: in_force < committed ->
        // Reports a revision only if no gate can admit work under an older one.
        d_step {
            if
            :: (
#ifndef NO_LEADER_WAIT
                (leader == 0 || now >= leader_since + LEASE) &&
#endif
#ifdef FORGET_LEASES
                true
#else
                (reported >= committed || now >= expires)
#endif
               ) -> in_force = committed
            :: else
            fi
        }
    :: now >= LAST -> break
    od
}

active proctype clock() {
    do
    :: now < LAST -> now++
    :: else -> break
    od
}
