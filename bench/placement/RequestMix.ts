/** Requests of a deployment with short chats, documents and very long prompts on the same servers. */
import type {PromptPart} from '../../src/controllers/placement/index.js';

/** Kind of requests, with its own latency target. */
export interface RequestKind {
  readonly name: string;
  readonly share: number;
  readonly targetMs: number;
  /** Tokens of the last segment, which no other request has. */
  readonly minOwnTokens: number;
  readonly maxOwnTokens: number;
  readonly hasSubject: boolean;
  readonly minEvents: number;
  readonly maxEvents: number;
}

/** One request. */
export interface SimulatedRequest {
  readonly kind: RequestKind;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly events: number;
}

/** Kinds by size; the shares and sizes give the averages of docs/design/overload.md. */
export const REQUEST_KINDS: readonly RequestKind[] = [
  {
    name: 'chat',
    share: 0.7,
    targetMs: 500,
    minOwnTokens: 50,
    maxOwnTokens: 800,
    hasSubject: true,
    minEvents: 20,
    maxEvents: 150,
  },
  {
    name: 'document',
    share: 0.2,
    targetMs: 1_000,
    minOwnTokens: 2_000,
    maxOwnTokens: 12_000,
    hasSubject: true,
    minEvents: 20,
    maxEvents: 150,
  },
  {
    name: 'long',
    share: 0.1,
    targetMs: 1_000,
    minOwnTokens: 20_000,
    maxOwnTokens: 54_600,
    hasSubject: false,
    minEvents: 3,
    maxEvents: 20,
  },
];

const SYSTEMS = 4;
const SYSTEM_TOKENS = 600;
const SUBJECTS = 400;
const MIN_SUBJECT_TOKENS = 1_500;
const SUBJECT_TOKEN_STEP = 500;
const SUBJECT_SIZES = 10;
let ownIds = 0;

/** Returns a random request. Without shared prefixes, its whole prompt is its own. */
export function createRequest(random: () => number, hasSharedPrefixes: boolean): SimulatedRequest {
  const kind = chooseKind(random());
  const ownTokens = getBetween(kind.minOwnTokens, kind.maxOwnTokens, random);
  ownIds += 1;
  const own = {id: `own-${ownIds}`, tokens: ownTokens};
  const system = {id: `system-${Math.floor(random() * SYSTEMS)}`, tokens: SYSTEM_TOKENS};
  // The square makes some subjects much more frequent than others.
  const subject = Math.floor(random() ** 2 * SUBJECTS);
  const subjectTokens = MIN_SUBJECT_TOKENS + (subject % SUBJECT_SIZES) * SUBJECT_TOKEN_STEP;
  const shared: PromptPart[] = kind.hasSubject
    ? [system, {id: `${system.id}-subject-${subject}`, tokens: subjectTokens}]
    : [system];
  const promptTokens = [...shared, own].reduce((sum, {tokens}) => sum + tokens, 0);
  return {
    kind,
    promptParts: hasSharedPrefixes ? [...shared, own] : [{id: own.id, tokens: promptTokens}],
    promptTokens,
    events: getBetween(kind.minEvents, kind.maxEvents, random),
  };
}

function chooseKind(random: number): RequestKind {
  let left = random;
  for (const kind of REQUEST_KINDS) {
    left -= kind.share;
    if (left < 0) return kind;
  }
  return REQUEST_KINDS[REQUEST_KINDS.length - 1];
}

function getBetween(min: number, max: number, random: () => number): number {
  return Math.round(min + random() * (max - min));
}
