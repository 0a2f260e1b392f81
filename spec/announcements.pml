// mutants: NO_START_CHECK NO_ORDER_WITHIN_START NO_DEPARTURE_RECORD OLD_LEAVE_COUNTS
// run: -DLEAVES=1
// run: -DLEAVES=2
// compile: -DSAFETY
// An upstream that starts twice under one id, and two processes that hear of
// it. Every announcement and every word that it leaves may arrive late, twice,
// in any order and at either process first (instance_registry). A start that
// leaves says so in its last announcement, or only in a word of its own.
// Promises:
// - a process that has heard that a start leaves never gives that start work
//   again, also when it hears the start's announcements only afterwards;
// - no process goes back to an older start;
// - processes that have heard everything agree, and a start that has not left
//   is ready.
#define PROCESSES 2
#define STARTS 2
#define BEATS 2        // announcements of each start
#define MESSAGES (STARTS * (BEATS + 1))
#if LEAVES < STARTS
#define ALL ((1 << (MESSAGES - 1)) - 1)   // the last start sends no leave
#else
#define ALL ((1 << MESSAGES) - 1)
#endif

typedef registry {
    byte start;        // 0: nothing was heard
    byte sequence;
    bool ready;
    byte departed;     // newest start that is known to leave
    bool told[STARTS + 1];
    byte heard         // bit set of messages
}
registry process[PROCESSES];

inline note(p, which) {
    process[p].heard = process[p].heard | (1 << (which))
}

inline hear(p, s, q) {
    note(p, (s - 1) * (BEATS + 1) + q - 1);
    if
#ifndef NO_START_CHECK
    :: s < process[p].start
#endif
#ifndef NO_ORDER_WITHIN_START
    :: s == process[p].start && q <= process[p].sequence
#endif
    :: else ->
        assert(s >= process[p].start);
        if
        :: q == BEATS && s <= LEAVES ->      // says that it drains
            process[p].ready = false;
            process[p].told[s] = true
        :: else ->
        if
#ifndef NO_DEPARTURE_RECORD
        :: s <= process[p].departed -> process[p].ready = false
#endif
#ifndef NO_ORDER_WITHIN_START
        :: s == process[p].start && !process[p].ready   // stays so
#endif
        :: else -> process[p].ready = true
        fi
        fi;
        process[p].start = s;
        process[p].sequence = q
    fi
}

inline leave(p, s) {
    note(p, (s - 1) * (BEATS + 1) + BEATS);
    process[p].told[s] = true;
    if
    :: s > process[p].departed -> process[p].departed = s
    :: else
    fi;
    if
#ifndef OLD_LEAVE_COUNTS
    :: s < process[p].start
#endif
    :: else -> process[p].ready = false
    fi
}

inline check(p) {
    assert(!process[p].ready || !process[p].told[process[p].start]);
    if
    :: process[p].heard == ALL ->
        assert(process[p].start == STARTS);
        assert(process[p].ready == (LEAVES < STARTS))
    :: else
    fi
}

active proctype network() {
    byte p;
    byte s;
    byte q;
    do
    :: atomic {
           select(p : 0 .. PROCESSES - 1);
           select(s : 1 .. STARTS);
           select(q : 1 .. BEATS);
           hear(p, s, q);
           check(p)
       }
    :: atomic {
           select(p : 0 .. PROCESSES - 1);
           select(s : 1 .. LEAVES);
           leave(p, s);
           check(p)
       }
    od
}
