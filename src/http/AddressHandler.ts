/** Tells callers which entries to use. */
import type {Member} from '../blackboard/index.js';
import {rankByRendezvous} from '../utils/index.js';
import {sendJson} from './Answers.js';
import type {CallerRequest, HandlerContext} from './RequestContext.js';

/** Time for which a caller may keep the answer. */
const ADDRESSES_TTL_MS = 5_000;

/** One entry as callers see it. */
export interface EntryAddress {
  /** IP number. */
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
}

/** Answer of the address look-up. */
export interface AddressAnswer {
  readonly addresses: readonly EntryAddress[];
  readonly ttlMs: number;
}

/**
 * Returns the entries that callers of a workspace should use, best first.
 * @param members - Entries known to this one.
 * @param workspace - Name of the workspace.
 */
export function rankAddresses(
  members: readonly Member[],
  workspace: string,
): readonly EntryAddress[] {
  const usable = members.filter(member => member.state === 'alive' || member.state === 'suspect');
  const ranked = rankByRendezvous(workspace, usable, member => member.instanceId);
  const trusted = ranked.filter(member => member.state === 'alive');
  const suspected = ranked.filter(member => member.state === 'suspect');
  return [...trusted, ...suspected].map(({address, callersPort, failureDomain}) => ({
    address,
    port: callersPort,
    failureDomain,
  }));
}

/** Answers `GET /v1/addresses`. */
export class AddressHandler {
  private readonly context: HandlerContext;

  constructor(context: HandlerContext) {
    this.context = context;
  }

  /**
   * Handles one call.
   * @param caller - The request.
   */
  handle(caller: CallerRequest): void {
    const {members} = this.context.blackboard.getSection('peers');
    const answer: AddressAnswer = {
      addresses: rankAddresses(members, caller.workspace.name),
      ttlMs: ADDRESSES_TTL_MS,
    };
    sendJson(caller.response, 200, answer);
  }
}
