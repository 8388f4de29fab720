export {BufferBudget, type BufferAccount} from './BufferBudget.js';
export {ByteBuffer} from './ByteBuffer.js';
export {IndexedHeap} from './IndexedHeap.js';
export {afterNextPoll} from './afterNextPoll.js';
export {
  BLOCK_TOKENS,
  hashBlocks,
  renderChatPrompt,
  splitTokens,
  type PromptMessage,
} from './promptBlocks.js';
export {hashBytes, hashText, rankByRendezvous} from './rendezvous.js';
export {takeInTurn} from './takeInTurn.js';
export {getTextKey} from './textKey.js';
export {waitForStopSignal} from './stopSignal.js';
export {createSeededRandom} from './seededRandom.js';
export {parseJson} from './parseJson.js';
export {
  FleetWindows,
  type FleetWindowsOptions,
  type WindowRow,
  type WindowValues,
} from './FleetWindows.js';
export {RecentDurations} from './RecentDurations.js';
export {SuspendAwareClock, type SuspendAwareClockOptions} from './SuspendAwareClock.js';
