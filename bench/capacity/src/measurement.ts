/**
One measurement; resolves to what it prints, in Markdown.
*/
export type Measurement = () => Promise<string>;
