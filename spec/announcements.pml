// mutants: NO_START_CHECK NO_ORDER_WITHIN_START NO_DEPARTURE_RECORD OLD_LEAVE_COUNTS
// run: -DLEAVES=1
// run: -DLEAVES=2
// compile: -DSAFETY
// An upstream that starts twice under one id, and two processes that receive
// its messages (instance_registry). Announcements and departure messages may
// be delayed, duplicated, reordered and delivered to either process first. A
// start that leaves reports it in its last announcement, or only in a separate
// departure message.
// Checked:
// - a process that has learnt of the departure of a start never gives that
//   start work again, even if the start's announcements arrive afterwards;
// - no process returns to an older start;
// - processes that have received all messages agree, and a start that has not
//   left is ready.
#define PROCESSES 2
#define STARTS 2
#define BEATS 2        // announcements of each start
#define MESSAGES (STARTS * (BEATS + 1))
#if LEAVES < STARTS
#define ALL ((1 << (MESSAGES - 1)) - 1)   // the last start does not leave
#else
#define ALL ((1 << MESSAGES) - 1)
#endif

typedef registry {
    byte start;        // 0: nothing received
    byte sequence;
    bool ready;
    byte departed;     // newest start known to have left
    bool departure_known[STARTS + 1];
    byte received      // bit set of messages
}
registry process[PROCESSES];

inline mark_received(p, message) {
    process[p].received = process[p].received | (1 << (message))
}

inline receive_announcement(p, s, q) {
    mark_received(p, (s - 1) * (BEATS + 1) + q - 1);
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
        :: q == BEATS && s <= LEAVES ->      // reports that it drains
            process[p].ready = false;
            process[p].departure_known[s] = true
        :: else ->
        if
#ifndef NO_DEPARTURE_RECORD
        :: s <= process[p].departed -> process[p].ready = false
#endif
#ifndef NO_ORDER_WITHIN_START
        :: s == process[p].start && !process[p].ready   // stays not ready
#endif
        :: else -> process[p].ready = true
        fi
        fi;
        process[p].start = s;
        process[p].sequence = q
    fi
}

inline receive_departure(p, s) {
    mark_received(p, (s - 1) * (BEATS + 1) + BEATS);
    process[p].departure_known[s] = true;
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
    assert(!process[p].ready || !process[p].departure_known[process[p].start]);
    if
    :: process[p].received == ALL ->
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
           receive_announcement(p, s, q);
           check(p)
       }
    :: atomic {
           select(p : 0 .. PROCESSES - 1);
           select(s : 1 .. LEAVES);
           receive_departure(p, s);
           check(p)
       }
    od
}
