/** Durations that the score of a placement assumes where none have been measured. */

/** Prefill speed of a model engine. */
export const ASSUMED_PROMPT_TOKENS_PER_MS = 100;
/** Delay that each open request adds to the first event of a new one. */
export const RUNNING_REQUEST_MS = 2;
/** Score penalty at a failure rate of 1; it is proportional to the failure rate. */
export const FAILURE_PENALTY_MS = 4_000;
/** Queueing delay for each request beyond the slots of a plain server. */
export const PLAIN_QUEUEING_MS = 80;
/** Queueing delay for each request beyond the slots of a model engine. */
export const ENGINE_QUEUEING_MS = 100;
