export {estimatePaceMs} from './estimate-pace-ms.ts';
export {measureServiceMs} from './measure-service-ms.ts';
export {pickByExpectation} from './pick-by-expectation.ts';
export {predictAnswerMs} from './predict-answer-ms.ts';
