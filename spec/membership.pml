// Single-server membership changes and the return of a voter whose disk was
// lost, as a learner under a new incarnation.
//
// Checked: at most one leader per term; a committed entry, data or
// configuration, is in the log of every leader of a later term. A second disk
// may be lost as soon as the repair after the first loss is committed; after
// each loss some disk still holds every committed entry, and a majority
// remains able to commit.
// Replicas 0 to 2 are the initial voters; with N=4, replica 3 joins as a
// learner, is promoted, and then another voter is removed.
//
// mutants: LOST_DISK_KEEPS_VOTE LEARNERS_COUNT CHANGES_OVERLAP LOSS_BEFORE_REPAIR
// run: -DN=3 -DTERMS=2 -DENTRIES=3 -DLOSSES=2
// run: -DN=3 -DTERMS=3 -DENTRIES=2 -DLOSSES=2
// run: -DN=4 -DTERMS=2 -DENTRIES=3 -DLOSSES=0
// compile: -DSAFETY -DCOLLAPSE

#ifndef N
#define N 3
#endif
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 3
#endif
#ifndef LOSSES
#define LOSSES 2
#endif

/* The guards; a mutant removes one. */
#ifdef LOST_DISK_KEEPS_VOTE
#define NEW_IDENTITY 0
#else
#define NEW_IDENTITY 1
#endif
#ifdef LEARNERS_COUNT
#define VOTERS_ONLY 0
#else
#define VOTERS_ONLY 1
#endif
#ifdef CHANGES_OVERLAP
#define ONE_CHANGE 0
#else
#define ONE_CHANGE 1
#endif
#ifdef LOSS_BEFORE_REPAIR
#define REPAIR_FIRST 0
#else
#define REPAIR_FIRST 1
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

#define FIRST_VOTERS 7

/* A replica's identity is a bit: replica r with its first disk is bit r, with
   a second disk bit r + 4. A configuration is a set of voting identities. */
#define ID(r) (1 << (r + 4 * (replaced[r] && NEW_IDENTITY)))
#define COUNT(s) \
    ((s & 1) + ((s >> 1) & 1) + ((s >> 2) & 1) + ((s >> 3) & 1) + \
     ((s >> 4) & 1) + ((s >> 5) & 1) + ((s >> 6) & 1) + ((s >> 7) & 1))
#define IN(s, c) ((s) & (VOTERS_ONLY -> (c) : 255))
#define MAJORITY(s, c) (COUNT(IN(s, c)) * 2 > COUNT(c))

/* On disk. Entry i of replica r is at r * ENTRIES + i - 1. */
byte term[N];
byte voted[N];               /* candidate + 1 */
byte size[N];
byte entry_term[N * ENTRIES];
byte entry_config[N * ENTRIES]; /* 0: data */
bool replaced[N];            /* uses its second disk */
/* In memory. */
byte role[N];
byte votes[N];               /* identities */
byte acked[N * ENTRIES];     /* leader: identities that hold the entry */
byte commit[N];
byte losses;

/* Ghost state. */
byte leader_of[TERMS + 1];
byte committed_term[ENTRIES]; /* committed entries */
byte committed_config[ENTRIES];
byte committed_in[ENTRIES];  /* lowest term of a leader that committed it */
byte committed_voters = FIRST_VOTERS; /* newest committed configuration */
byte committed_size;

byte n;
byte p;
byte i;
byte k;

#define AT(r, j) (r * ENTRIES + j - 1)
#define LAST_TERM(r) (size[r] == 0 -> 0 : entry_term[AT(r, size[r])])

/* Index of the newest configuration in a log, 0: the initial one. */
#define CONFIG3(r) \
    (ENTRIES >= 3 && size[r] >= 3 && entry_config[AT(r, 3)] -> 3 : CONFIG2(r))
#define CONFIG2(r) \
    (size[r] >= 2 && entry_config[AT(r, 2)] -> 2 : CONFIG1(r))
#define CONFIG1(r) (size[r] >= 1 && entry_config[AT(r, 1)] -> 1 : 0)
#define CONFIG_INDEX(r) CONFIG3(r)
#define CONFIG(r) \
    (CONFIG_INDEX(r) == 0 -> FIRST_VOTERS : \
                             entry_config[AT(r, CONFIG_INDEX(r))])

#define MAY_CHANGE(r) \
    (!ONE_CHANGE || (CONFIG_INDEX(r) <= commit[r] && commit[r] > 0 && \
                     entry_term[AT(r, commit[r])] == term[r]))

inline clear_memory(r)
{
    role[r] = FOLLOWER;
    votes[r] = 0;
    commit[r] = 0;
    for (k : 1 .. ENTRIES) { acked[AT(r, k)] = 0 }
    k = 0
}

inline observe_term(r, t)
{
    if
    :: t > term[r] ->
        term[r] = t;
        voted[r] = 0;
        clear_memory(r)
    :: else
    fi
}

inline append(r, config)
{
    size[r]++;
    entry_term[AT(r, size[r])] = term[r];
    entry_config[AT(r, size[r])] = config;
    acked[AT(r, size[r])] = ID(r)
}

inline vote()
{
    observe_term(p, term[n]);
    if
    :: role[p] == FOLLOWER && (voted[p] == 0 || voted[p] == n + 1) &&
       (LAST_TERM(n) > LAST_TERM(p) ||
        (LAST_TERM(n) == LAST_TERM(p) && size[n] >= size[p])) ->
        voted[p] = n + 1;
        votes[n] = votes[n] | ID(p)
    :: else
    fi
}

inline become_leader()
{
    assert(leader_of[term[n]] == 0 || leader_of[term[n]] == n + 1);
    leader_of[term[n]] = n + 1;
    for (i : 1 .. ENTRIES) {
        assert(i > committed_size || committed_in[i - 1] >= term[n] ||
               (i <= size[n] &&
                entry_term[AT(n, i)] == committed_term[i - 1] &&
                entry_config[AT(n, i)] == committed_config[i - 1]))
    }
    role[n] = LEADER;
    votes[n] = 0;
    for (i : 1 .. ENTRIES) {
        acked[AT(n, i)] = (i <= size[n] -> ID(n) : 0)
    }
    i = 0
}

/* Replica p accepts the leader's first i entries. Its later entries are kept
   if all of these match. */
inline accept_entries()
{
    observe_term(p, term[n]);
    role[p] = FOLLOWER;
    votes[p] = 0;
    for (k : 1 .. i) {
        if
        :: k <= size[p] && entry_term[AT(p, k)] == entry_term[AT(n, k)]
        :: else ->
            size[p] = k;
            entry_term[AT(p, k)] = entry_term[AT(n, k)];
            entry_config[AT(p, k)] = entry_config[AT(n, k)]
        fi;
        acked[AT(n, k)] = acked[AT(n, k)] | ID(p)
    }
    for (k : 1 .. ENTRIES) {
        if
        :: k > size[p] ->
            entry_term[AT(p, k)] = 0;
            entry_config[AT(p, k)] = 0
        :: else
        fi
    }
    k = 0
}

inline record_commit()
{
    commit[n] = i;
    for (k : 1 .. i) {
        assert(k > committed_size ||
               (committed_term[k - 1] == entry_term[AT(n, k)] &&
                committed_config[k - 1] == entry_config[AT(n, k)]));
        committed_term[k - 1] = entry_term[AT(n, k)];
        committed_config[k - 1] = entry_config[AT(n, k)];
        if
        :: committed_in[k - 1] == 0 || committed_in[k - 1] > term[n] ->
            committed_in[k - 1] = term[n]
        :: else
        fi;
        if
        :: k > committed_size ->
            committed_size = k;
            committed_voters = (entry_config[AT(n, k)] -> entry_config[AT(n, k)]
                                                       : committed_voters)
        :: else
        fi
    }
    k = 0
}

#define HOLDS(r, j) \
    (size[r] >= j && entry_term[AT(r, j)] == committed_term[j - 1] && \
     entry_config[AT(r, j)] == committed_config[j - 1])
#define LIVING (ID(0) | ID(1) | ID(2) | ID(N - 1))

inline lose_disk()
{
    losses++;
    replaced[n] = 1;
    term[n] = 0;
    voted[n] = 0;
    size[n] = 0;
    clear_memory(n);
    for (k : 1 .. ENTRIES) {
        entry_term[AT(n, k)] = 0;
        entry_config[AT(n, k)] = 0
    }
    for (k : 1 .. ENTRIES) {
        assert(k > committed_size ||
               HOLDS(0, k) || HOLDS(1, k) || HOLDS(2, k) ||
               HOLDS(N - 1, k))
    }
    k = 0;
    assert(MAJORITY(LIVING, committed_voters))
}

#define REPAIRED (committed_voters == (ID(0) | ID(1) | ID(2)))

inline pick_other()
{
    if
    :: n != 0 -> p = 0
    :: n != 1 -> p = 1
    :: n != 2 -> p = 2
    :: N > 3 && n != 3 -> p = 3
    fi
}

inline pick_index(limit)
{
    if
    :: limit >= 1 -> i = 1
    :: limit >= 2 -> i = 2
    :: limit >= 3 -> i = 3
    fi
}

inline leader_step()
{
    if
    /* With four replicas one data entry per term bounds the search. */
    :: size[n] < ENTRIES && (N == 3 || LAST_TERM(n) != term[n]) ->
        append(n, 0)
    :: size[n] < ENTRIES && MAY_CHANGE(n) ->
        pick_other();
        if
        /* Its disk was lost: it is not a voter until it has caught up. */
        :: replaced[p] && NEW_IDENTITY && (CONFIG(n) & (1 << p)) ->
            append(n, (CONFIG(n) & ~(1 << p)))
        /* A learner that holds all committed entries is promoted. */
        :: !(CONFIG(n) & ID(p)) && !(CONFIG(n) & (1 << p)) &&
           (commit[n] == 0 || (acked[AT(n, commit[n])] & ID(p))) ->
            append(n, (CONFIG(n) | ID(p)))
        /* A voter is removed once its replacement is a voter. */
        :: COUNT(CONFIG(n)) > 3 && (CONFIG(n) & ID(p)) ->
            append(n, (CONFIG(n) & ~ID(p)))
        :: else
        fi
    :: size[n] > 0 ->
        pick_other();
        if
        :: term[n] >= term[p] -> pick_index(size[n]);
           d_step { accept_entries() }
        :: else
        fi
    :: size[n] > commit[n] ->
        pick_index(size[n]);
        if
        :: i > commit[n] && entry_term[AT(n, i)] == term[n] &&
           MAJORITY(acked[AT(n, i)], CONFIG(n)) ->
            d_step { record_commit() }
        :: else
        fi
    fi
}

inline pick_replica()
{
    if
    :: n = 0
    :: n = 1
    :: n = 2
    :: N > 3 -> n = N - 1
    fi
}

init
{
    do
    :: atomic {
        pick_replica();
        if
        :: role[n] != LEADER && term[n] < TERMS && (CONFIG(n) & ID(n)) ->
            clear_memory(n);
            term[n]++;
            voted[n] = n + 1;
            role[n] = CANDIDATE;
            votes[n] = ID(n)
        :: role[n] == CANDIDATE ->
            pick_other();
            if
            :: term[n] >= term[p] -> d_step { vote() }
            :: else
            fi
        :: role[n] == CANDIDATE && MAJORITY(votes[n], CONFIG(n)) ->
            d_step { become_leader() }
        :: role[n] == LEADER -> leader_step()
        :: n < 3 && !replaced[n] && losses < LOSSES &&
           (losses == 0 || REPAIRED || !REPAIR_FIRST) ->
            d_step { lose_disk() }
        :: else
        fi;
        n = 0;
        p = 0;
        i = 0
    }
    od
}
