// mutants: NO_TOKEN_CHECK SEND_BEFORE_COMMIT NO_DEADLINE_WAIT TWO_OUTSTANDING NO_LEASE_CHECK
// compile: -DSAFETY
// pan: -E
// Orders to two engines while a stale leader is replaced. Engine 0 checks
// fencing tokens, engine 1 ignores them. Leader 0 is replaced by leader 1.
// Checked:
// - engine 0 never applies an order after one with a higher token, however
//   long leader 0 is paused;
// - neither does engine 1, provided that leader 0 is not paused for longer
//   than the order's deadline between checking its lease and sending. The
//   model expresses this bound as the deadline of the channel: a request
//   started under a valid lease ends within DEADLINE ticks.
#define LEASE 2
#define DEADLINE 1
#define LAST 7
#define NONE 9

byte now = 0;
byte lease_end = LEASE;   // of leader 0
byte elected_at = 255;
byte next_token = 1;      // log index
byte open_token[2];       // committed, unfinished order per engine
byte open_by[2] = NONE;
byte newest[2];           // highest token that the engine has applied

inline commit_order(me, engine, token) {
    token = next_token;
    next_token++;
    open_token[engine] = token;
    open_by[engine] = me
}

inline engine_receives(engine, token) {
    d_step {
        if
#ifndef NO_TOKEN_CHECK
        :: engine == 0 && token < newest[0]     // refused
#endif
        :: else ->
            assert(token >= newest[engine]);
            newest[engine] = token
        fi
    }
}

// The previous leader, whose lease may have expired, sends one order.
proctype old_leader(byte engine) {
    byte token;
    byte started;
#ifdef SEND_BEFORE_COMMIT
    token = next_token;
#else
    // Only a leader can commit.
    d_step {
        elected_at == 255 && open_token[engine] == 0;
        commit_order(0, engine, token)
    };
#endif
    if
    :: engine == 0 ->
        // Paused for any time; only the token protects the engine.
        engine_receives(0, token)
    :: else ->
        d_step {
#ifdef NO_LEASE_CHECK
            started = now
#else
            if
            :: now < lease_end -> started = now
            :: else -> started = 255
            fi
#endif
        };
        if
        :: started != 255 ->
            d_step {
                if
                :: now <= started + DEADLINE ->
                    assert(token >= newest[1]);
                    newest[1] = token
                :: else          // the transfer was aborted at its deadline
                fi
            }
        :: else
        fi
    fi
}

// The new leader is elected only after the previous lease has expired.
active proctype election() {
    d_step { now >= lease_end; elected_at = now }
}

proctype new_leader(byte engine) {
    byte token;
    elected_at != 255;
    d_step {
#ifdef TWO_OUTSTANDING
        true;
#else
        open_token[engine] == 0;
#endif
        commit_order(1, engine, token)
    };
    engine_receives(engine, token)
}

// An inherited order ends after the previous lease and its own deadline.
proctype sweep(byte engine) {
    elected_at != 255 && open_by[engine] == 0;
#ifndef NO_DEADLINE_WAIT
    now > elected_at + DEADLINE;
#endif
    d_step {
        if
        :: open_by[engine] == 0 ->
            open_token[engine] = 0;
            open_by[engine] = NONE
        :: else
        fi
    }
}

active proctype clock() {
    do
    :: now < LAST -> now++
    :: else -> break
    od
}

init {
    atomic {
        run old_leader(0); run old_leader(1);
        run new_leader(0); run new_leader(1);
        run sweep(0); run sweep(1)
    }
}
