/** Claims at other entries, and answers their claims. */
import {
  type ClaimAnswer,
  type ClaimGatherer,
  type ClaimGathering,
  type ClaimService,
  type ClaimVerdict as ClaimVerdictName,
} from '../claims/index.js';
import type {Blackboard} from '../blackboard/index.js';
import {chooseClaimGatherer, countClaimAppenders} from '../controllers/claims/index.js';
import type {OutcomeProposal, StoredAnswer} from '../records/index.js';
import {
  ClaimVerdict,
  RunState,
  type RecordedAnswer,
} from './generated/buckthorn/peer/v1/peer_pb.js';
import type {PeerCalls, PeerClient} from './PeerClient.js';
import type {PeerHandlers} from './PeerServer.js';

const VERDICTS_TO_WIRE = {
  granted: ClaimVerdict.GRANTED,
  held: ClaimVerdict.HELD,
  done: ClaimVerdict.DONE,
  'not-run': ClaimVerdict.NOT_RUN,
  unknown: ClaimVerdict.UNKNOWN,
  'fingerprint-mismatch': ClaimVerdict.FINGERPRINT_MISMATCH,
  unavailable: ClaimVerdict.UNAVAILABLE,
} as const satisfies Readonly<Record<ClaimVerdictName, ClaimVerdict>>;

const VERDICTS_FROM_WIRE: ReadonlyMap<ClaimVerdict, ClaimVerdictName> = new Map(
  Object.entries(VERDICTS_TO_WIRE).map(([name, verdict]) => [verdict, name as ClaimVerdictName]),
);

const RUNS_TO_WIRE = {
  ran: RunState.RAN,
  'not-run': RunState.NOT_RUN,
  unknown: RunState.UNKNOWN,
} as const satisfies Readonly<Record<OutcomeProposal['run'], RunState>>;

const RUNS_FROM_WIRE: ReadonlyMap<RunState, OutcomeProposal['run']> = new Map(
  Object.entries(RUNS_TO_WIRE).map(([name, run]) => [run, name as OutcomeProposal['run']]),
);

/**
 * Returns the entries that gather claims, as the `peers` section gives them.
 * @param blackboard - Holds the section.
 * @param client - Calls other entries.
 * @param selfId - Instance of this entry, which needs no call.
 */
export function createClaimGathering(
  blackboard: Blackboard,
  client: PeerClient,
  selfId: string,
): ClaimGathering {
  return {
    getGatherer: (workspace, key) => {
      const {members} = blackboard.getSection('peers');
      const member = chooseClaimGatherer(workspace, key, members);
      if (!member || member.instanceId === selfId) return undefined;
      return new RemoteGatherer(client.getCalls(member));
    },
    getAppenderCount: () => countClaimAppenders(blackboard.getSection('peers').members),
  };
}

/**
 * Returns the handlers with which this entry gathers claims and outcomes for others.
 * @param service - Claims in the log.
 */
export function createClaimHandlers(service: ClaimService): PeerHandlers {
  return {
    claim: async request => {
      const {workspace, key, claimant, attemptId, fingerprint} = request;
      const proposal = {workspace, key, claimant, attemptId, fingerprint};
      const {verdict, answer, isKnownNotRun} = await service.claimFor(proposal);
      return {
        verdict: VERDICTS_TO_WIRE[verdict],
        answer: answer && toWireAnswer(answer),
        knownNotRun: isKnownNotRun,
      };
    },
    recordOutcome: async ({workspace, key, attemptId, answer, run: wireRun}) => {
      const run = RUNS_FROM_WIRE.get(wireRun);
      if (!run) return {recorded: false};
      const outcome = {workspace, key, attemptId, run, answer: answer && fromWireAnswer(answer)};
      return {recorded: await service.recordOutcomeHere(outcome)};
    },
  };
}

/** Another entry that gathers claims. */
class RemoteGatherer implements ClaimGatherer {
  private readonly calls: PeerCalls;

  constructor(calls: PeerCalls) {
    this.calls = calls;
  }

  async claim(
    proposal: Parameters<ClaimGatherer['claim']>[0],
    timeoutMs: number,
  ): Promise<ClaimAnswer> {
    const {verdict, answer, knownNotRun} = await this.calls.claim(proposal, {timeoutMs});
    return {
      verdict: VERDICTS_FROM_WIRE.get(verdict) ?? 'unavailable',
      answer: answer && fromWireAnswer(answer),
      isKnownNotRun: knownNotRun,
    };
  }

  async recordOutcome(outcome: OutcomeProposal, timeoutMs: number): Promise<boolean> {
    const {workspace, key, attemptId, run, answer} = outcome;
    const request = {workspace, key, attemptId, run: RUNS_TO_WIRE[run]};
    const wireAnswer = answer && toWireAnswer(answer);
    const {recorded} = await this.calls.recordOutcome(
      {...request, answer: wireAnswer},
      {timeoutMs},
    );
    return recorded;
  }
}

function toWireAnswer({status, contentType, bodyBase64}: StoredAnswer) {
  return {status, contentType, body: new Uint8Array(Buffer.from(bodyBase64, 'base64'))};
}

function fromWireAnswer({status, contentType, body}: RecordedAnswer): StoredAnswer {
  return {status, contentType, bodyBase64: Buffer.from(body).toString('base64')};
}
