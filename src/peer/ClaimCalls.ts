/** Client and handlers of the peer service's `GatherClaims` call, which aggregates the claims of several entries. */
import {
  type ClaimAnswer,
  type ClaimAggregator,
  type ClaimAggregation,
  type ClaimService,
  type ClaimVerdict as ClaimVerdictName,
  type ClaimAggregationBatch,
} from '../claims/index.js';
import type {Blackboard, Member} from '../blackboard/index.js';
import {chooseClaimAggregator, countClaimAppenders} from '../controllers/claims/index.js';
import type {OutcomeProposal, StoredResponse} from '../records/index.js';
import {
  ClaimVerdict,
  RunState,
  type ClaimAnswer as WireClaimAnswer,
  type Outcome as WireOutcome,
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
 * Returns an object that selects the claim aggregator for this entry from the members in the `peers` section.
 * @param blackboard - Provides the `peers` section.
 * @param selfId - Instance id of this entry.
 */
export function createClaimAggregation(
  blackboard: Blackboard,
  client: PeerClient,
  selfId: string,
): ClaimAggregation {
  let lastMembers: readonly Member[] | undefined;
  let aggregator: ClaimAggregator | undefined;
  const getMembers = () => blackboard.getSection('peers').members;
  return {
    getAggregator: () => {
      const members = getMembers();
      if (members === lastMembers) return aggregator;
      lastMembers = members;
      const member = chooseClaimAggregator(selfId, members);
      aggregator = member && new RemoteClaimAggregator(member.instanceId, client.getCalls(member));
      return aggregator;
    },
    getAppenderCount: () => countClaimAppenders(selfId, getMembers()),
  };
}

/**
 * Returns the handlers with which this entry acts as claim aggregator for other entries.
 * @param service - Appends the claims and outcomes to the log.
 */
export function createClaimHandlers(service: ClaimService): PeerHandlers {
  return {
    gatherClaims: async ({claims, outcomes}) => {
      for (const outcome of outcomes.flatMap(fromWireOutcome)) service.addOutcomeForEntry(outcome);
      const answers = await Promise.all(
        claims.map(({workspace, key, claimant, attemptId, fingerprint}) =>
          service.claimForEntry({workspace, key, claimant, attemptId, fingerprint}),
        ),
      );
      return {answers: answers.map(toWireClaimAnswer)};
    },
  };
}

/** A claim aggregator at another entry, called through the peer service. */
class RemoteClaimAggregator implements ClaimAggregator {
  readonly instanceId: string;
  private readonly calls: PeerCalls;

  constructor(instanceId: string, calls: PeerCalls) {
    this.instanceId = instanceId;
    this.calls = calls;
  }

  async aggregate(
    {claims, outcomes}: ClaimAggregationBatch,
    timeoutMs: number,
  ): Promise<readonly ClaimAnswer[]> {
    const request = {claims: [...claims], outcomes: outcomes.map(toWireOutcome)};
    const {answers} = await this.calls.gatherClaims(request, {timeoutMs});
    return answers.map(fromWireClaimAnswer);
  }
}

function toWireClaimAnswer({verdict, answer, isKnownNotRun}: ClaimAnswer) {
  const wireResponse = answer && toWireResponse(answer);
  return {verdict: VERDICTS_TO_WIRE[verdict], answer: wireResponse, knownNotRun: isKnownNotRun};
}

function fromWireClaimAnswer({verdict, answer, knownNotRun}: WireClaimAnswer): ClaimAnswer {
  return {
    verdict: VERDICTS_FROM_WIRE.get(verdict) ?? 'unavailable',
    answer: answer && fromWireResponse(answer),
    isKnownNotRun: knownNotRun,
  };
}

function toWireOutcome({workspace, key, attemptId, run, answer}: OutcomeProposal) {
  const wireResponse = answer && toWireResponse(answer);
  return {workspace, key, attemptId, run: RUNS_TO_WIRE[run], answer: wireResponse};
}

/** Returns the outcome, or an empty list if this version doesn't know its run state. */
function fromWireOutcome(outcome: WireOutcome): readonly OutcomeProposal[] {
  const {workspace, key, attemptId, answer} = outcome;
  const run = RUNS_FROM_WIRE.get(outcome.run);
  if (!run) return [];
  return [{workspace, key, attemptId, run, answer: answer && fromWireResponse(answer)}];
}

function toWireResponse({status, contentType, bodyBase64}: StoredResponse) {
  return {status, contentType, body: new Uint8Array(Buffer.from(bodyBase64, 'base64'))};
}

function fromWireResponse({status, contentType, body}: RecordedAnswer): StoredResponse {
  return {status, contentType, bodyBase64: Buffer.from(body).toString('base64')};
}
