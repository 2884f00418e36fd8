export {parseRetryAfter} from './parse-retry-after.ts';
