export {PlainService, type PlainServiceOptions} from './PlainService.js';
