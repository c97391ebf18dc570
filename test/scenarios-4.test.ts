import { playScenarios } from './standin/play.js';

playScenarios(3, 4);
