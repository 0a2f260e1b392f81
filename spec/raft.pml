// Election and replication of the replicated log with crash and restart.
//
// Checked: at most one leader per term; a committed entry is in the log of
// every later leader and is never replaced.
// Steps between two replicas are atomic; one append message may be delayed and
// delivered later, any number of times.
//
// mutants: NO_VOTE_PERSISTENCE COMMIT_OLD_TERM NO_LOG_CHECK ACK_BEFORE_SYNC NO_TERM_CHECK TRUNCATE_ALWAYS
// run: -DTERMS=3 -DENTRIES=2 -DCRASHES=0 -DHELD=1
// run: -DTERMS=3 -DENTRIES=1 -DCRASHES=1 -DHELD=1
// run: -DTERMS=2 -DENTRIES=2 -DCRASHES=1 -DHELD=1
// run: -DTERMS=4 -DENTRIES=1 -DCRASHES=0 -DHELD=0
// compile: -DSAFETY -DCOLLAPSE

#define N 3
#ifndef TERMS
#define TERMS 3 /* highest term */
#endif
#ifndef ENTRIES
#define ENTRIES 2 /* highest log length */
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef HELD
#define HELD 1 /* 0: no message is delayed */
#endif

/* The guards; a mutant removes one. */
#ifdef NO_VOTE_PERSISTENCE
#define VOTE_ON_DISK 0
#else
#define VOTE_ON_DISK 1
#endif
#ifdef COMMIT_OLD_TERM
#define OWN_TERM_ONLY 0
#else
#define OWN_TERM_ONLY 1
#endif
#ifdef NO_LOG_CHECK
#define LOG_CHECK 0
#else
#define LOG_CHECK 1
#endif
#ifdef ACK_BEFORE_SYNC
#define SYNC_FIRST 0
#else
#define SYNC_FIRST 1
#endif
#ifdef NO_TERM_CHECK
#define TERM_CHECK 0
#else
#define TERM_CHECK 1
#endif
#ifdef TRUNCATE_ALWAYS
#define KEEP_MATCHING 0
#else
#define KEEP_MATCHING 1
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* On disk. */
byte term[N];
byte voted[N]; /* candidate + 1, 0: none */
byte size[N];
byte entry1[N]; /* term of the entry, 0: none */
byte entry2[N];
/* In memory. */
byte role[N];
byte votes[N]; /* bit set of granted votes */
byte acked1[N]; /* leader: bit set of replicas that hold entry 1 */
byte acked2[N];
byte commit[N];
byte crashes;

/* A delayed append message; held_term 0: none. */
byte held_term;
byte held_previous;      /* index before the entry */
byte held_previous_term;
byte held_entry;         /* term of the entry */

/* Ghost state. */
byte leader_of[TERMS + 1]; /* leader + 1 */
byte committed1;           /* term of the committed entry */
byte committed2;
byte committed_in1;        /* term of the leader that committed it first */
byte committed_in2;

byte n;
byte p;
byte x;

#define TERM_AT(r, i) (i == 0 -> 0 : (i == 1 -> entry1[r] : entry2[r]))
#define LAST_TERM(r) TERM_AT(r, size[r])
#define MAJORITY(set) \
    (set == 3 || set == 5 || set == 6 || set == 7)

inline pick(v)
{
    if
    :: v = 0
    :: v = 1
    :: v = 2
    fi
}

inline observe_term(r, t)
{
    if
    :: t > term[r] ->
        term[r] = t;
        voted[r] = 0;
        role[r] = FOLLOWER;
        votes[r] = 0;
        acked1[r] = 0;
        acked2[r] = 0
    :: else
    fi
}

inline set_entry(r, i, t)
{
    if
    :: i == 1 -> entry1[r] = t
    :: else -> entry2[r] = t
    fi
}

inline start_election()
{
    pick(n);
    if
    :: role[n] != LEADER && term[n] < TERMS ->
        term[n]++;
        voted[n] = n + 1;
        role[n] = CANDIDATE;
        votes[n] = 1 << n
    :: else
    fi
}

inline grant_vote()
{
    pick(n);
    pick(p);
    if
    :: n != p && role[n] == CANDIDATE && term[n] >= term[p] ->
        observe_term(p, term[n]);
        if
        :: role[p] == FOLLOWER &&
           (voted[p] == 0 || voted[p] == n + 1) &&
           (!LOG_CHECK || LAST_TERM(n) > LAST_TERM(p) ||
            (LAST_TERM(n) == LAST_TERM(p) && size[n] >= size[p])) ->
            voted[p] = n + 1;
            votes[n] = votes[n] | (1 << p)
        :: else
        fi
    :: else
    fi
}

inline become_leader()
{
    pick(n);
    if
    :: role[n] == CANDIDATE && MAJORITY(votes[n]) ->
        assert(leader_of[term[n]] == 0 || leader_of[term[n]] == n + 1);
        leader_of[term[n]] = n + 1;
        /* A leader has all entries committed in earlier terms. */
        assert(committed1 == 0 || committed_in1 >= term[n] ||
               entry1[n] == committed1);
        assert(committed2 == 0 || committed_in2 >= term[n] ||
               entry2[n] == committed2);
        role[n] = LEADER;
        votes[n] = 0;
        acked1[n] = (size[n] >= 1 -> 1 << n : 0);
        acked2[n] = (size[n] >= 2 -> 1 << n : 0)
    :: else
    fi
}

inline client_append()
{
    pick(n);
    if
    :: role[n] == LEADER && size[n] < ENTRIES ->
        size[n]++;
        set_entry(n, size[n], term[n]);
        if
        :: size[n] == 1 -> acked1[n] = 1 << n
        :: else -> acked2[n] = 1 << n
        fi
    :: else
    fi
}

/* Replica p handles an append of one entry with index previous + 1. */
inline handle_append(from_term, previous, previous_term, entry)
{
    if
    :: TERM_CHECK && from_term < term[p] -> skip
    :: else ->
        observe_term(p, from_term);
        role[p] = FOLLOWER;
        votes[p] = 0;
        if
        :: size[p] >= previous && TERM_AT(p, previous) == previous_term ->
            if
            :: KEEP_MATCHING && size[p] > previous &&
               TERM_AT(p, (previous + 1)) == entry -> skip
            :: else ->
                /* No entry known here to be committed is replaced. */
                assert(commit[p] <= previous ||
                       TERM_AT(p, (previous + 1)) == entry);
                set_entry(p, (previous + 1), entry);
                size[p] = previous + 1;
                if
                :: previous == 0 -> entry2[p] = 0
                :: else
                fi
            fi;
            /* The acknowledgement, counted only in the leader's term. */
            x = (leader_of[from_term] > 0 -> leader_of[from_term] - 1 : 0);
            if
            :: role[x] == LEADER && term[x] == from_term ->
                acked1[x] = acked1[x] | (1 << p);
                if
                :: previous == 1 -> acked2[x] = acked2[x] | (1 << p)
                :: else
                fi
            :: else
            fi;
            x = 0
        :: else
        fi
    fi
}

inline replicate()
{
    pick(n);
    pick(p);
    if
    :: n != p && role[n] == LEADER && size[n] >= 1 ->
        if
        :: handle_append(term[n], 0, 0, entry1[n])
        :: size[n] >= 2 -> handle_append(term[n], 1, entry1[n], entry2[n])
        :: HELD && held_term == 0 ->
            held_term = term[n];
            if
            :: held_previous = 0; held_entry = entry1[n]
            :: size[n] >= 2 ->
                held_previous = 1;
                held_previous_term = entry1[n];
                held_entry = entry2[n]
            fi
        fi
    :: else
    fi
}

inline deliver_held()
{
    pick(p);
    if
    :: held_term != 0 && leader_of[held_term] != p + 1 ->
        handle_append(held_term, held_previous, held_previous_term, held_entry);
        if
        :: skip
        :: held_term = 0;
           held_previous = 0;
           held_previous_term = 0;
           held_entry = 0
        fi
    :: else
    fi
}

inline record_commit(known, t)
{
    known = (known == 0 || t < known -> t : known)
}

inline advance_commit()
{
    pick(n);
    if
    :: role[n] == LEADER ->
        if
        :: size[n] >= 2 && MAJORITY(acked2[n]) &&
           (!OWN_TERM_ONLY || entry2[n] == term[n]) ->
            assert(committed1 == 0 || committed1 == entry1[n]);
            assert(committed2 == 0 || committed2 == entry2[n]);
            committed1 = entry1[n];
            committed2 = entry2[n];
            record_commit(committed_in1, term[n]);
            record_commit(committed_in2, term[n]);
            commit[n] = 2
        :: size[n] >= 1 && MAJORITY(acked1[n]) &&
           (!OWN_TERM_ONLY || entry1[n] == term[n]) ->
            assert(committed1 == 0 || committed1 == entry1[n]);
            committed1 = entry1[n];
            record_commit(committed_in1, term[n]);
            commit[n] = (commit[n] > 1 -> commit[n] : 1)
        :: else
        fi
    :: else
    fi
}

inline crash()
{
    pick(n);
    if
    :: crashes < CRASHES ->
        crashes++;
        role[n] = FOLLOWER;
        votes[n] = 0;
        acked1[n] = 0;
        acked2[n] = 0;
        commit[n] = 0;
        voted[n] = (VOTE_ON_DISK -> voted[n] : 0);
        if
        :: !SYNC_FIRST && size[n] == 2 -> size[n] = 1; entry2[n] = 0
        :: !SYNC_FIRST && size[n] == 1 -> size[n] = 0; entry1[n] = 0
        :: else
        fi
    :: else
    fi
}

init
{
    do
    :: atomic {
        if
        :: start_election()
        :: grant_vote()
        :: become_leader()
        :: client_append()
        :: replicate()
        :: deliver_held()
        :: advance_commit()
        :: crash()
        fi;
        n = 0;
        p = 0
    }
    od
}
