export {getRendezvousScore, hashText, rankByRendezvous} from './hashes.js';
export {
  BLOCK_TOKENS,
  hashBlocks,
  renderChatPrompt,
  splitTokens,
  type PromptMessage,
} from './promptBlocks.js';
