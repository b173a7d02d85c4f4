/*
 * Terms, promises and reassignment: three voters, one owner A with a slot, two coordinators, restarts.
 * Time is abstract: a promise that the owner still counts on (held) has not expired at the voter that gave it.
 * Defining one of these names selects a mutant: DROP_WAIT, DROP_COMPARE, NO_BOOT_WAIT, PROMISE_AFTER_RESTART.
 */
#define VOTERS 3
#define MAJORITY(a) (a[0] + a[1] + a[2] >= 2)

#ifdef PROMISE_AFTER_RESTART
#define MAY_PROMISE(v) true
#else
#define MAY_PROMISE(v) (!readmitted[v])
#endif

bool held[VOTERS];      /* A still counts on this voter's promise */
bool promised[VOTERS];  /* the voter remembers an unexpired promise */
bool refused[VOTERS];   /* the voter remembers that it refuses to renew A's term */
bool booting[VOTERS];   /* the voter restarted and waits for one promise period */
bool readmitted[VOTERS];/* this run of the voter was admitted after A's term was recorded */
byte restarts = 0;

byte revision = 0;      /* revision of the record */
byte owner = 0;         /* 0: A, 1 and 2: assigned by coordinator 0 or 1, each to a new owner of its own */
bool servedByNew[2];    /* a new owner learned that it owns the slot */

byte phase[2];          /* of a coordinator: 0 idle, 1 ending A's term, 2 done */
byte readAt[2];         /* revision at which the coordinator read the record */
bool got0[VOTERS];      /* refusals received by coordinator 0 */
bool got1[VOTERS];
bool wait0[VOTERS];     /* promises whose expiry coordinator 0 awaits */
bool wait1[VOTERS];

inline writeOwner(d)
{
#ifdef DROP_COMPARE
    owner = d + 1; revision++; servedByNew[d] = true;
#else
    if
    :: readAt[d] == revision -> owner = d + 1; revision++; servedByNew[d] = true
    :: else -> skip
    fi;
#endif
    phase[d] = 2
}

active proctype system()
{
    byte v;
    do
    /* A renews its lease with a voter. */
    :: d_step { v < VOTERS && !booting[v] && !refused[v] && MAY_PROMISE(v) -> promised[v] = true; held[v] = true }
    /* A promise expires at the owner first, then at the voter. */
    :: d_step { v < VOTERS && held[v] -> held[v] = false }
    :: d_step { v < VOTERS && promised[v] && !held[v] -> promised[v] = false }
    /* A voter restarts and loses its state. */
    :: d_step { v < VOTERS && restarts < 2 -> restarts++; promised[v] = false; refused[v] = false;
                booting[v] = true; readmitted[v] = true }
#ifdef NO_BOOT_WAIT
    :: d_step { v < VOTERS && booting[v] -> booting[v] = false }
#else
    :: d_step { v < VOTERS && booting[v] && !held[v] -> booting[v] = false }
#endif
    /* Coordinators. */
    :: d_step { phase[0] == 0 && owner == 0 -> phase[0] = 1; readAt[0] = revision }
    :: d_step { phase[1] == 0 && owner == 0 -> phase[1] = 1; readAt[1] = revision }
    :: d_step { phase[0] == 1 && v < VOTERS && !booting[v] && !got0[v] ->
                refused[v] = true; got0[v] = true; wait0[v] = promised[v] }
    :: d_step { phase[1] == 1 && v < VOTERS && !booting[v] && !got1[v] ->
                refused[v] = true; got1[v] = true; wait1[v] = promised[v] }
    :: d_step { v < VOTERS && wait0[v] && !held[v] -> wait0[v] = false }
    :: d_step { v < VOTERS && wait1[v] && !held[v] -> wait1[v] = false }
#ifdef DROP_WAIT
    :: d_step { phase[0] == 1 && MAJORITY(got0) -> writeOwner(0) }
    :: d_step { phase[1] == 1 && MAJORITY(got1) -> writeOwner(1) }
#else
    :: d_step { phase[0] == 1 && MAJORITY(got0) && !wait0[0] && !wait0[1] && !wait0[2] -> writeOwner(0) }
    :: d_step { phase[1] == 1 && MAJORITY(got1) && !wait1[0] && !wait1[1] && !wait1[2] -> writeOwner(1) }
#endif
    /* Selects the voter of the next step. */
    :: d_step { v < VOTERS - 1 -> v++ }
    :: d_step { v > 0 -> v = 0 }
    od
}

/* Invariant: at most one owner, either A or the new owner that the record names. */
active proctype monitor()
{
    atomic {
        (MAJORITY(held) && (servedByNew[0] || servedByNew[1])) || (servedByNew[0] && servedByNew[1]) -> assert(false)
    }
}
