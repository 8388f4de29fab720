/** The keys by which gateways recognise what may have crashed a server in later requests. */
import {hashBytes, hashText} from '../../utils/index.js';
import type {Suspect} from './CrashEvidence.js';

/** A request, as far as it may be the cause of a crash. */
export interface SuspectRequest {
  readonly service: string;
  readonly workspace: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
  /** Ids of the prompt's parts in order; the last one is the request's own. */
  readonly promptPartIds: readonly string[];
}

/** Returns the suspects of the parts of a prompt that other requests may have too. */
export function getPartSuspects({service, promptPartIds}: SuspectRequest): readonly Suspect[] {
  return promptPartIds.slice(0, -1).map(id => hashText(`part\n${service}\n${id}`));
}

/** Returns the suspect of a whole request, which is the same when its caller sends it again. */
export function getRequestSuspect(request: SuspectRequest): Suspect {
  const {service, workspace, method, path, body} = request;
  const fields = ['request', service, workspace ?? '', method, path, hashBytes(body)];
  return hashText(fields.join('\n'));
}
