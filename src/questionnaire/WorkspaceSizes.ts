/** What the sizes of a workspace stand for. */

/** The sizes that answers may name. */
export const WORKSPACE_SIZES = [
  {name: 'small', shareWeight: 1, maxOpenRequests: 64},
  {name: 'large', shareWeight: 4, maxOpenRequests: 256},
] as const;
