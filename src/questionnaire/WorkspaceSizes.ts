/** Workspace sizes of the questionnaire with the share weight and the request limit that each size sets. */

/**
 * Sizes that answers may name; the first is the default. `maxOpenRequests` limits the requests that run or wait at one
 * entry.
 */
export const WORKSPACE_SIZES = [
  {name: 'small', shareWeight: 1, maxOpenRequests: 64},
  {name: 'large', shareWeight: 4, maxOpenRequests: 256},
] as const;
