/** Where the entry that took a handed request answers its caller. */

/** Path of a handed request; its group is the request's id. */
export const HANDED_PATH = /^\/v1\/requests\/([A-Za-z0-9-]+)$/;

/**
 * Returns the path at which a handed request is answered.
 * @param requestId - The request.
 */
export function getHandedPath(requestId: string): string {
  return `/v1/requests/${requestId}`;
}
