/*
 * Change of the voter set from {0,1,2} to {1,2,3} while an owner A may lag behind the record and a coordinator ends its
 * term. Defining one of these names selects a mutant:
 * COORDINATOR_NEW_ONLY, ONE_MAJORITY_EACH, DROP_RETIRE, DROP_RETIRE_WAIT.
 */
#define VOTERS 4
#define OLD(a) (a[0] + a[1] + a[2] >= 2)
#define NEW(a) (a[1] + a[2] + a[3] >= 2)

bool held[VOTERS];
bool promised[VOTERS];
bool refused[VOTERS];
bool retired[VOTERS];   /* no longer gives promises under the old set */
bool retireWait[VOTERS];/* a promise under the old set that must expire first */
byte config = 0;        /* voter sets in the record: 0 old, 1 both, 2 new */
byte known = 0;         /* the config known to A */
bool assigned = false;  /* the slot was assigned to another owner */
bool got[VOTERS];
bool wait[VOTERS];
bool coordinating = false;
byte readAt = 0;        /* config at which the coordinator read the record; each change of it changes the revision */

/* A's lease needs a majority of each voter set that A knows. */
#ifdef ONE_MAJORITY_EACH
#define LEASE ((known == 0 && OLD(held)) || (known >= 1 && NEW(held)))
#else
#define LEASE ((known == 0 && OLD(held)) || (known == 1 && OLD(held) && NEW(held)) || (known == 2 && NEW(held)))
#endif

#ifdef ONE_MAJORITY_EACH
#define ENDED ((config <= 1 && OLD(got)) || (config == 2 && NEW(got)))
#else
#ifdef COORDINATOR_NEW_ONLY
#define ENDED ((config == 0 && OLD(got)) || (config >= 1 && NEW(got)))
#else
#define ENDED ((config == 0 && OLD(got)) || (config == 1 && OLD(got) && NEW(got)) || (config == 2 && NEW(got)))
#endif
#endif

/* Voters that A renews with: members of the voter sets that it knows. */
#define ASKED(v) ((known == 0 && v < 3) || known == 1 || (known == 2 && v > 0))

active proctype system()
{
    byte v;
    do
    :: d_step { v < VOTERS && !refused[v] && !(retired[v] && known < 1) && ASKED(v) -> promised[v] = true; held[v] = true }
    :: d_step { v < VOTERS && held[v] -> held[v] = false }
    :: d_step { v < VOTERS && promised[v] && !held[v] -> promised[v] = false }
    :: d_step { known < config -> known++ }
    /* Change of the voter set. */
    :: d_step { config == 0 && !assigned -> config = 1 }
    :: d_step { config == 1 && v < 3 && !retired[v] -> retired[v] = true; retireWait[v] = promised[v] }
    :: d_step { v < VOTERS && retireWait[v] && !held[v] -> retireWait[v] = false }
#ifdef DROP_RETIRE
    :: d_step { config == 1 && !assigned -> config = 2 }
#else
#ifdef DROP_RETIRE_WAIT
    :: d_step { config == 1 && !assigned && OLD(retired) -> config = 2 }
#else
    :: d_step { config == 1 && !assigned && OLD(retired) && !retireWait[0] && !retireWait[1] && !retireWait[2] ->
                config = 2 }
#endif
#endif
    /* Coordinator. */
    :: d_step { !coordinating && !assigned -> coordinating = true; readAt = config }
    :: d_step { coordinating && v < VOTERS && !got[v] -> refused[v] = true; got[v] = true; wait[v] = promised[v] }
    :: d_step { v < VOTERS && wait[v] && !held[v] -> wait[v] = false }
    :: d_step { coordinating && readAt == config && ENDED && !wait[0] && !wait[1] && !wait[2] && !wait[3] ->
                assigned = true; coordinating = false }
    :: d_step { coordinating && readAt != config -> readAt = config }
    :: d_step { v < VOTERS - 1 -> v++ }
    :: d_step { v > 0 -> v = 0 }
    od
}

active proctype monitor()
{
    atomic { assigned && LEASE -> assert(false) }
}
