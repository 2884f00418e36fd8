export {createNewsRelay} from './create-news-relay.ts';
export type {NewsRelay} from './news-relay.ts';
export type {OriginNews} from './origin-news.ts';
