/** URL path at which an entry serves the rest of the response of a request that was handed over to it. */

/** Matches the path; the capturing group is the request id. */
export const HANDED_REQUEST_PATH = /^\/v1\/requests\/([A-Za-z0-9-]+)$/;

/** Returns the path for a request id. */
export function getHandedRequestPath(requestId: string): string {
  return `/v1/requests/${requestId}`;
}
