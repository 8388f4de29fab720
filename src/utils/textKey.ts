/** Short hash keys for ids that are sent often. */
import {hashText} from './rendezvous.js';

const KEY_MASK = 0xffff_ffffn;

/** Returns a 32-bit hash of a text, the same in every process. Two texts may have the same key. */
export function getTextKey(text: string): number {
  return Number(hashText(text) & KEY_MASK);
}
