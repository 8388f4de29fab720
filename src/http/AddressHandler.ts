/** Address lookup: returns the entries that a caller should send its requests to, in order of preference. */
import type {Member} from '../blackboard/index.js';
import {rankByRendezvous} from '../utils/index.js';
import {sendJson} from './responses.js';
import type {CallerRequest, HandlerContext} from './RequestContext.js';

/** Time for which a caller may cache the response. */
const ADDRESSES_TTL_MS = 5_000;

/** Network address of one entry. */
export interface EntryAddress {
  /** IPv4 or IPv6 address. */
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
}

/** Response body of the address lookup. */
export interface AddressResponse {
  /** In order of preference, the preferred entry first. */
  readonly addresses: readonly EntryAddress[];
  /** Time for which the caller may cache the addresses. */
  readonly ttlMs: number;
}

/**
 * Returns the addresses of the entries that callers of a workspace should use, in order of preference. Rendezvous
 * hashing of the workspace orders the entries; suspected entries follow all alive ones, and other entries are left out.
 * @param members - All entries in the membership table.
 * @param workspace - Workspace name, the key of the hash.
 */
export function rankAddresses(
  members: readonly Member[],
  workspace: string,
): readonly EntryAddress[] {
  const usable = members.filter(member => member.state === 'alive' || member.state === 'suspect');
  const ranked = rankByRendezvous(workspace, usable, member => member.instanceId);
  const alive = ranked.filter(member => member.state === 'alive');
  const suspects = ranked.filter(member => member.state === 'suspect');
  return [...alive, ...suspects].map(({address, callersPort, failureDomain}) => ({
    address,
    port: callersPort,
    failureDomain,
  }));
}

/** Handles `GET /v1/addresses`. */
export class AddressHandler {
  private readonly context: HandlerContext;

  constructor(context: HandlerContext) {
    this.context = context;
  }

  /** Sends the addresses for the caller's workspace. */
  handle(caller: CallerRequest): void {
    const {members} = this.context.blackboard.getSection('peers');
    const body: AddressResponse = {
      addresses: rankAddresses(members, caller.workspace.name),
      ttlMs: ADDRESSES_TTL_MS,
    };
    sendJson(caller.response, 200, body);
  }
}
