import {z} from 'zod';
import {newsSchema} from './news-schema.ts';

/**
Form of the news that a relay passes on to its members.
*/
export const bundleSchema = z.array(newsSchema);
