/** Assertions on the kind of a thrown `ServingError`. */
import type {Test} from 'tap';
import {ServingError, type ErrorKind} from '../../src/errors/index.js';

/** Asserts that a function throws a `ServingError` of the given kind. */
export function assertThrowsKind(t: Test, act: () => unknown, kind: ErrorKind): void {
  try {
    act();
  } catch (error) {
    t.equal(error instanceof ServingError ? error.kind : String(error), kind);
    return;
  }
  t.fail(`nothing was thrown, expected ${kind}`);
}

/** Asserts that a promise rejects with a `ServingError` of the given kind. */
export async function assertRejectsKind(
  t: Test,
  promise: Promise<unknown>,
  kind: ErrorKind,
): Promise<void> {
  try {
    await promise;
  } catch (error) {
    t.equal(error instanceof ServingError ? error.kind : String(error), kind);
    return;
  }
  t.fail(`nothing was thrown, expected ${kind}`);
}
