// mutants: NO_OWNER_CHECK RERUN_AFTER_UNKNOWN ABORT_AFTER_SEND DISPATCH_BEFORE_INTENT NOT_RUN_ON_TIMEOUT
// compile: -DSAFETY
// pan: -E
// The idempotency journal (intent, dispatch, answer) for one key that two gates
// are asked to run. A gate may crash between any two steps, and replies of the
// journal may be lost. Checked:
// - the service runs the call at most once;
// - "not run" is reported only by an attempt that sent nothing;
// - a gate returns the stored answer only for a call that ran.
mtype = { none, intent, complete, unknown, aborted };

mtype entry = none;
byte owner = 255;      // attempt that holds the intent
byte runs = 0;         // executions at the service
byte sent = 0;         // bit per attempt: the request may have been sent
bool alive[2] = true;

// The committed begin command of attempt `me`.
inline journal_begin(me, may_run) {
    d_step {
        may_run = false;
        if
        :: entry == none || entry == aborted ->
            entry = intent; owner = me; may_run = true
        :: entry == intent && owner == me -> may_run = true
#ifdef NO_OWNER_CHECK
        :: entry == intent && owner != me -> may_run = true
#endif
#ifdef RERUN_AFTER_UNKNOWN
        :: entry == unknown ->
            entry = intent; owner = me; may_run = true
#endif
        :: else
        fi
    }
}

proctype gate(byte me) {
    bool may_run;
    bool dispatched = false;
    bool retried = false;
#ifdef DISPATCH_BEFORE_INTENT
    goto dispatch;
#endif
begin:
    if
    :: alive[me] = false; goto end
    :: skip
    fi;
    journal_begin(me, may_run);
    if
    :: !retried -> retried = true; goto begin  // the reply was lost
    :: skip
    fi;
    if
    :: alive[me] = false; goto end           // crash while owning the intent
    :: !may_run -> goto end
    :: may_run
    fi;
    // The gate may still abort: nothing was sent, and nothing will be sent.
    if
    :: skip;
       d_step {
           if
           :: entry == intent && owner == me -> entry = aborted
           :: entry == unknown && owner == me -> entry = aborted
           :: else
           fi
       };
       goto not_run
    :: skip
    fi;
dispatch:
    atomic { sent = sent | (1 << me); dispatched = true };
    if
    :: alive[me] = false; goto end           // crash after sending
    :: skip
    fi;
    // The service runs the call, or the request is lost.
    if
    :: runs++
    :: skip;
#ifdef NOT_RUN_ON_TIMEOUT
       goto not_run;
#else
       goto lost;
#endif
    fi;
    if
    :: alive[me] = false; goto end           // crash after the run
    :: goto lost                             // the answer was lost
    :: skip
    fi;
    d_step {
        if
        :: owner == me && (entry == intent || entry == unknown) ->
            entry = complete
        :: else
        fi
    };
    assert(runs > 0);
    goto end;
lost:
    skip;
#ifdef ABORT_AFTER_SEND
    d_step {
        if
        :: owner == me && entry == intent -> entry = aborted
        :: else
        fi
    };
#else
    d_step {
        if
        :: owner == me && entry == intent -> entry = unknown
        :: else
        fi
    };
#endif
    goto end;
not_run:
    assert((sent & (1 << me)) == 0);
end:
    skip
}

// The leader marks the intent of a gate that it considers lost. The gate may
// only be paused, so this can happen at any time.
active proctype leader() {
    do
    :: d_step { entry == intent -> entry = unknown }
    :: break
    od
}

active proctype checks() {
    (runs > 1) -> assert(false)
}

init {
    atomic { run gate(0); run gate(1) }
}
