(pipelines 1)
(elastic 1)
