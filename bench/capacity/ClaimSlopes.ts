/** Cost of claims by their number: heap, CPU time and bytes. */
import {ClaimsFold} from '../../src/folds/index.js';
import {decodeRecord, encodeRecord, type LogRecord} from '../../src/records/index.js';
import {FIXTURE_NOW_MS} from './Fixtures.js';
import {measureCpuMicros, measureHeapBytes} from './Measure.js';
import type {SlopeDefinition} from './SlopeDefinition.js';

const BATCH_SIZES = [1, 10, 50, 200];
const CLAIM_COUNTS = [1_000, 5_000, 20_000, 50_000];
const RESPONSE_BODY_BASE64 = Buffer.alloc(120, 'x').toString('base64');

function createKey(index: number): string {
  return `018f3c1e-0000-7000-8000-${String(index).padStart(12, '0')}`;
}

function createClaimRecord(firstIndex: number, count: number): LogRecord {
  return {
    writer: 'entry-000001-018f3c1e',
    sequence: firstIndex * 2 + 1,
    body: {
      kind: 'claim-batch',
      claims: Array.from({length: count}, (_, offset) => ({
        workspace: `workspace-${(firstIndex + offset) % 500}`,
        key: createKey(firstIndex + offset),
        attemptId: `attempt-${firstIndex + offset}`,
        claimant: 'entry-000001-018f3c1e',
        fingerprint: createKey(firstIndex + offset),
      })),
    },
  };
}

function createOutcomeRecord(firstIndex: number, count: number): LogRecord {
  return {
    writer: 'entry-000001-018f3c1e',
    sequence: firstIndex * 2 + 2,
    body: {
      kind: 'outcome-batch',
      outcomes: Array.from({length: count}, (_, offset) => ({
        workspace: `workspace-${(firstIndex + offset) % 500}`,
        key: createKey(firstIndex + offset),
        attemptId: `attempt-${firstIndex + offset}`,
        run: 'ran' as const,
        answer: {status: 201, contentType: 'application/json', bodyBase64: RESPONSE_BODY_BASE64},
      })),
    },
  };
}

function createFold(claimCount: number): ClaimsFold {
  const fold = new ClaimsFold();
  for (let index = 0; index < claimCount; index++) {
    const claim = decodeRecord(encodeRecord(createClaimRecord(index, 1)));
    const outcome = decodeRecord(encodeRecord(createOutcomeRecord(index, 1)));
    fold.applyRecord({offset: index * 2, record: claim, atMs: FIXTURE_NOW_MS});
    fold.applyRecord({offset: index * 2 + 1, record: outcome, atMs: FIXTURE_NOW_MS});
  }
  return fold;
}

/** Measured quantities of the claims stream. */
export const CLAIM_SLOPES: readonly SlopeDefinition[] = [
  {
    id: 'claim-heap',
    description: 'claims kept with an answer of 120 bytes each',
    sizeUnit: 'claims',
    valueUnit: 'bytes',
    sizes: CLAIM_COUNTS,
    measure: count => measureHeapBytes(() => createFold(count)),
  },
  {
    id: 'claim-record-bytes',
    description: 'records of a batch of claims and of their outcomes',
    sizeUnit: 'claims in the batch',
    valueUnit: 'bytes',
    sizes: BATCH_SIZES,
    measure: count =>
      Buffer.byteLength(encodeRecord(createClaimRecord(0, count))) +
      Buffer.byteLength(encodeRecord(createOutcomeRecord(0, count))),
  },
  {
    id: 'claim-apply-cpu',
    description: 'decode and fold a batch of claims and their outcomes',
    sizeUnit: 'claims in the batch',
    valueUnit: 'us',
    sizes: BATCH_SIZES,
    measure: count => {
      const payloads = [createClaimRecord(0, count), createOutcomeRecord(0, count)].map(
        encodeRecord,
      );
      return measureCpuMicros(() => {
        const fold = new ClaimsFold();
        payloads.forEach((payload, offset) =>
          fold.applyRecord({offset, record: decodeRecord(payload), atMs: FIXTURE_NOW_MS}),
        );
      });
    },
  },
  {
    id: 'claim-snapshot-bytes',
    description: 'snapshot of the claims stream',
    sizeUnit: 'claims',
    valueUnit: 'bytes',
    sizes: CLAIM_COUNTS,
    measure: count =>
      Buffer.byteLength(JSON.stringify(createFold(count).createSnapshot(count * 2 - 1))),
  },
];
